package e2e

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	exitOK    = 0
	exitUsage = 2
)

// Guards against a router that reports only the first of several invalid or
// missing settings: each must be named, with its value and the allowed range.
func TestAllBadSettingsAreReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startProcess(t, "settings", "chiveseam-router",
		"--name=Router 1", "--entry-listen=localhost:80", "--log-level=loud",
		"--max-open-requests=0", "--dial-timeout=soon", "--no-such-flag=1")
	is.Equal(p.awaitExit(t), exitUsage)
	log := string(p.log())
	mistakes := []string{
		"--name", "--zone", "--region", "--entry-listen", "--peer-listen", "--admin-listen", "--platform-url",
		"--log-level", "--max-open-requests", "--dial-timeout", "--no-such-flag",
	}
	for _, name := range mistakes {
		if !strings.Contains(log, name) {
			t.Errorf("%s is not reported in:\n%s", name, log)
		}
	}
	is.Equal(strings.Count(log, " is not allowed: want "), len(mistakes)) // one message with value and allowed range for each setting
}

// --version and --check with valid settings exit with code 0 instead of starting a
// router.
func TestCheckAndVersionEndAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startProcess(t, "version", "chiveseam-router", "--version")
	is.Equal(p.awaitExit(t), exitOK)
	p = startProcess(t, "check", "chiveseam-router", "--check", "--name=r", "--zone=z", "--region=n",
		"--entry-listen=127.0.0.1:1", "--peer-listen=127.0.0.1:2", "--admin-listen=127.0.0.1:3",
		"--platform-url=http://127.0.0.1:4")
	is.Equal(p.awaitExit(t), exitOK)
}
