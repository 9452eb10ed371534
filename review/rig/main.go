// Command rig plays the scripts of the review: it starts router processes, stands in for the platform, the
// engines and the consumers, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	unable = 2
)

// env is what a script gets.
type env struct {
	// root is the repository, dir a temporary folder.
	root, dir string
	record    *record
	// trouble is false if the disruption is left out.
	trouble bool
}

var cases = map[string]func(*env) (int, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the repository")
		return unable
	}
	root, err := os.Getwd()
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return fail(err)
	}
	e := &env{root: root, dir: dir, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.log("trouble: %v", e.trouble)
	code, err := cases[os.Args[1]](e)
	if err != nil {
		rec.log("could not run: %v", err)
		return fail(err)
	}
	return code
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return unable
}

// verdict writes the result and returns the exit code.
func (e *env) verdict(isBroken bool, format string, args ...any) (int, error) {
	text := fmt.Sprintf(format, args...)
	code := held
	word := "HELD"
	if isBroken {
		code, word = broken, "BROKEN"
	}
	e.record.log("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	return code, nil
}

const (
	host      = "shop.example"
	consumerK = "asnmgkcuyj8pjbvk9m68"
	revokedK  = "k7b2ex5wa5xwyhks8nbk"
)

// configuration is what the operator writes: the requests of a small deployment.
func configuration(version int) map[string]any { return configurationWith(version, revokedK) }

// configurationWith is configuration with the keys of the second tenant.
func configurationWith(version int, revocable ...string) map[string]any {
	if revocable == nil {
		revocable = []string{}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-chat", "hostname": host, "prefix": "/chat/", "kind": "streaming", "resumable": true, "service": "assist-llm",
				"timeout_ms": 15000, "target_latency_ms": 600, "target_gap_ms": 400, "priority": 1, "max_attempts": 2, "anonymous": false, "sticky": true},
			map[string]any{"name": "r-book", "hostname": host, "prefix": "/book/", "kind": "non_idempotent", "service": "order-desk",
				"timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "max_attempts": 1, "anonymous": false},
			map[string]any{"name": "r-status", "hostname": host, "prefix": "/status/", "kind": "idempotent", "service": "order-desk",
				"timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "max_attempts": 2, "anonymous": false},
		},
		"services": []any{
			map[string]any{"name": "assist-llm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 671459, "kv_token_bytes": 18432, "link_mbps": 88000.0, "stride": 3, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "order-desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 310000},
		"tenants": []any{
			map[string]any{"name": "hule930", "api_keys": []string{consumerK}, "priority": 1},
			map[string]any{"name": "rema412", "api_keys": revocable, "priority": 1},
		},
	}
}
