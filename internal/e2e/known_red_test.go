package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runKnownRed makes the tests of KNOWN-RED.txt run.
const runKnownRed = "CHIVESEAM_RUN_KNOWN_RED"

// knownRed passes over a test that KNOWN-RED.txt lists at the root of the
// module, and prints its entry. An entry is a line that begins with the name of
// its test and a colon.
func knownRed(t *testing.T) {
	t.Helper()
	if os.Getenv(runKnownRed) != "" {
		return
	}
	data, err := os.ReadFile(filepath.Join(modulePath, "KNOWN-RED.txt"))
	if os.IsNotExist(err) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if name, _, _ := strings.Cut(line, ":"); name == t.Name() {
			t.Skip("KNOWN-RED ", strings.TrimSpace(line))
		}
	}
}
