package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const siam = "../../examples/siam-broadsheet.yaml"

// ctl runs one command and returns its exit code and output.
func ctl(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := run(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestFromQuestionnaireToDiff(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	answers, err := os.ReadFile(siam)
	is.NoErr(err)
	changed := filepath.Join(dir, "changed.yaml")
	is.NoErr(os.WriteFile(changed, bytes.Replace(answers, []byte("share: 40"), []byte("share: 50"), 1), 0o600))
	old, new := filepath.Join(dir, "old.pb"), filepath.Join(dir, "new.json")
	code, _, stderr := ctl("questionnaire", "generate", siam, "-o", old)
	is.Equal(stderr, "")
	is.Equal(code, exitOK)
	code, text, _ := ctl("questionnaire", "generate", "--json", changed)
	is.Equal(code, exitOK)
	is.NoErr(os.WriteFile(new, []byte(text), 0o600))
	for _, file := range []string{old, new} {
		code, stdout, _ := ctl("config", "validate", file)
		is.Equal(code, exitOK)
		is.True(strings.HasPrefix(stdout, "valid: siam-broadsheet: 4 zones, 2 pools, 14 targets, 16 workspaces, "))
	}
	code, stdout, _ := ctl("config", "diff", old, new)
	is.Equal(code, exitOK)
	is.Equal(stdout, "workspace retail-chain: share changes from 40 to 50\n")
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	is.NoErr(os.WriteFile(bad, []byte("zones: many\n"), 0o600))
	broken := httptest.NewServer(http.NotFoundHandler())
	defer broken.Close()
	address := strings.TrimPrefix(broken.URL, "http://")
	tests := []struct {
		args   []string
		code   int
		stderr string
	}{
		{[]string{"--help"}, exitOK, ""},
		{[]string{"questionnaire", "check", siam}, exitOK, ""},
		{[]string{"questionnaire", "check", bad}, exitBadUse, `line 1: zones: "many" is not allowed: want a list`},
		{[]string{"config", "validate", bad}, exitBadUse, "decode configuration"},
		{[]string{"config", "validate", bad + ".none"}, exitFailure, "no such file"},
		{[]string{}, exitBadUse, "command"},
		{[]string{"config", "diff", bad}, exitBadUse, "NEW"},
		{[]string{"status"}, exitBadUse, "--router or --platform"},
		{[]string{"status", "--router", "host"}, exitBadUse, "want IP:port"},
		{[]string{"top", "--router", address, "--interval", "0s"}, exitBadUse, "--interval"},
		{[]string{"status", "--router", address}, exitFailure, "gave no status"},
		{[]string{"status", "--platform", broken.URL}, exitFailure, "404"},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			is := is.New(t)
			code, _, stderr := ctl(test.args...)
			is.Equal(code, test.code)
			is.True(strings.Contains(stderr, test.stderr))
		})
	}
}

func TestStatusAndTop(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"router":"r1","ready":true,"workspaces":[{"workspace":"big","pool":"desk","share":2,"queued":1}]}`))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, stdout, _ := ctl("status", "--json", "--router", address)
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, `"router": "r1"`))
	code, stdout, _ = ctl("top", "--once", "--interval", "1ms", "--router", address)
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, "desk  big        2      1 "))
}
