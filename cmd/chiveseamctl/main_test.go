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

const exampleQuestionnaire = "../../examples/siam-broadsheet.yaml"

// runCommand runs one command line and returns its exit code, standard output and standard
// error.
func runCommand(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := run(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// TestFromQuestionnaireToDiff generates two configurations that differ in one answer, one
// serialized and one as JSON, and checks that both are valid and that their diff shows that
// answer.
func TestFromQuestionnaireToDiff(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	answers, err := os.ReadFile(exampleQuestionnaire)
	is.NoErr(err)
	changed := filepath.Join(dir, "changed.yaml")
	is.NoErr(os.WriteFile(changed, bytes.Replace(answers, []byte("share: 40"), []byte("share: 50"), 1), 0o600))
	old, new := filepath.Join(dir, "old.pb"), filepath.Join(dir, "new.json")
	code, _, stderr := runCommand("questionnaire", "generate", exampleQuestionnaire, "-o", old)
	is.Equal(stderr, "")
	is.Equal(code, exitOK)
	code, text, _ := runCommand("questionnaire", "generate", "--json", changed)
	is.Equal(code, exitOK)
	is.NoErr(os.WriteFile(new, []byte(text), 0o600))
	for _, file := range []string{old, new} {
		code, stdout, _ := runCommand("config", "validate", file)
		is.Equal(code, exitOK)
		is.True(strings.HasPrefix(stdout, "valid: siam-broadsheet: 4 zones, 2 pools, 14 targets, 16 workspaces, "))
	}
	code, stdout, _ := runCommand("config", "diff", old, new)
	is.Equal(code, exitOK)
	is.Equal(stdout, "workspace retail-chain: share changes from 40 to 50\n")
}

// TestExitCodes checks that wrong command lines and wrong files give another exit code than
// failures, and that the error text says what is wrong.
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
		{[]string{"questionnaire", "check", exampleQuestionnaire}, exitOK, ""},
		{[]string{"questionnaire", "check", bad}, exitUsage, `line 1: zones: "many" is not allowed: want a list`},
		{[]string{"config", "validate", bad}, exitUsage, "decode configuration"},
		{[]string{"config", "validate", bad + ".none"}, exitFailure, "no such file"},
		{[]string{}, exitUsage, "command"},
		{[]string{"config", "diff", bad}, exitUsage, "NEW"},
		{[]string{"status"}, exitUsage, "--router or --platform"},
		{[]string{"status", "--router", "host"}, exitUsage, "want IP:port"},
		{[]string{"top", "--router", address, "--interval", "0s"}, exitUsage, "--interval"},
		{[]string{"status", "--router", address}, exitFailure, "gave no status"},
		{[]string{"status", "--platform", broken.URL}, exitFailure, "404"},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			is := is.New(t)
			code, _, stderr := runCommand(test.args...)
			is.Equal(code, test.code)
			is.True(strings.Contains(stderr, test.stderr))
		})
	}
}

// TestStatusAndTop checks the output of status and top for a router that reports one workspace.
func TestStatusAndTop(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"router":"r1","ready":true,"workspaces":[{"workspace":"big","pool":"desk","share":2,"queued":1}]}`))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, stdout, _ := runCommand("status", "--json", "--router", address)
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, `"router": "r1"`))
	code, stdout, _ = runCommand("top", "--once", "--interval", "1ms", "--router", address)
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, "desk  big        2      1 "))
}
