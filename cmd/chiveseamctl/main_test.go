package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
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

// manyRoutes returns a configuration in the platform's format with a route for each path from /p0/ on.
func manyRoutes(version, routes int) string {
	list := make([]string, routes)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"r%d","hostname":"a.example","prefix":"/p%d/","kind":"idempotent","timeout_ms":900,
"target_latency_ms":300,"service":"s","max_attempts":2,"anonymous":false,"resumable":false,"target_gap_ms":0,"allowed_regions":["north"]}`, i, i)
	}
	return fmt.Sprintf(`{"version":%d,"services":[{"name":"s"}],"tenants":[{"name":"shop","api_keys":["secret"]}],
"routes":[%s]}`, version, strings.Join(list, ",\n"))
}

// TestConfigCheck guards against a configuration with mistakes that a script takes for clean, or a
// clean one that it does not send: the exit status, the place of findings, and the differences, for
// both formats and a configuration of 1,400 routes.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	_, own, _ := runCommand("questionnaire", "generate", "--json", exampleQuestionnaire)
	ownJSON, ownPB := file("own.json", own), filepath.Join(dir, "own.pb")
	runCommand("questionnaire", "generate", exampleQuestionnaire, "-o", ownPB)
	ownBad := file("own-bad.json", strings.Replace(own, `"share": 40`, `"share": 0`, 1))
	clean, newer := file("clean.json", manyRoutes(7, 1400)), file("newer.json", strings.Replace(manyRoutes(8, 1401), `"shop"`, `"press"`, 1))
	bad := file("bad.json", strings.Replace(manyRoutes(9, 3), "/p1/", "/p0/", 1))
	tests := []struct {
		args                 []string
		code                 int
		stdout, stderr, lack string
	}{
		{[]string{clean}, exitOK, "errors: 0, warnings: 0\n", "", ""},
		{[]string{clean, "--zone-regions", "a=north,b=south"}, exitOK, "errors: 0, warnings: 0\n", "", ""},
		{[]string{clean, "--zone-regions", "a=south"}, exitFailure, ":3: error: routes[0].allowed_regions: the allowed regions leave no zone", "errors: 1400", ""},
		{[]string{newer, "--in-force", clean}, exitOK, "version: value changes from 7 to 8\n  route r1400 is added\n  workspace press is added\n", "", "secret"},
		{[]string{clean, "--in-force", newer}, exitFailure, "version 7 is not above that in force, 8", "errors: 1", ""},
		{[]string{bad}, exitFailure, ":4: error: routes[1].prefix: matches no request: routes[0] has", "errors: 1", ""},
		{[]string{bad, "--json"}, exitFailure, `"line": 4`, "errors: 1", "in_force"},
		{[]string{newer, "--json", "--in-force", clean}, exitOK, `"kind": "added",`, "", "secret"},
		{[]string{ownPB}, exitOK, "errors: 0", "", ""},
		{[]string{ownPB, "--in-force", ownJSON}, exitOK, "differences from " + ownJSON + ": 0", "", ""},
		{[]string{ownBad, "--in-force", ownPB}, exitFailure, "workspace retail-chain: share changes from 40 to 0", "errors: 1", ""},
		{[]string{ownBad}, exitFailure, "].share: \"0\" is not allowed", "errors: 1", "own-bad.json: error: "},
		{[]string{clean, "--in-force", ownPB}, exitUsage, "", "other format", ""},
		{[]string{clean, "--in-force", bad + ".none"}, exitUsage, "", "no such file", ""},
		{[]string{clean + ".none"}, exitUsage, "", "no such file", ""},
		{[]string{dir}, exitUsage, "", "is a directory", ""},
		{[]string{"/dev/zero"}, exitUsage, "", "larger than", ""},
		{[]string{file("empty.json", "")}, exitUsage, "", "empty", ""},
		{[]string{file("text.json", "routes: many")}, exitUsage, "", "neither a JSON object", ""},
		{[]string{file("cut.json", manyRoutes(7, 9)[:600])}, exitUsage, "", "line 6: unexpected end", ""},
		{[]string{file("twice.json", "{\"version\":1,\n\"version\":2}")}, exitUsage, "", `line 2: member "version" for the second time`, ""},
		{[]string{}, exitUsage, "", "FILE", ""},
		{[]string{clean, newer}, exitUsage, "", "want one FILE", ""},
		{[]string{clean, "--zone-regions", "north"}, exitUsage, "", "ZONE=REGION", ""},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := runCommand(append([]string{"config", "check"}, test.args...)...)
			is.Equal(code, test.code)
			is.True(strings.Contains(stdout, test.stdout))
			is.True(strings.Contains(stderr, test.stderr))
			is.True(test.lack == "" || !strings.Contains(stdout+stderr, test.lack))
			is.True(!slices.Contains(test.args, "--json") || json.Valid([]byte(stdout)))
		})
	}
}
