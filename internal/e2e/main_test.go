package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The programs consist of these packages. go test has to know of them, or
	// it takes results from its cache after they changed.
	_ "github.com/chiveseam/chiveseam/internal/operator"
	_ "github.com/chiveseam/chiveseam/router"
	_ "github.com/chiveseam/chiveseam/settings"
)

// moduleRoot is the root of the module, seen from this package.
const moduleRoot = "../.."

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chiveseam-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	if err := readCommandSources(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := buildPrograms(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// readCommandSources opens the sources of the commands, which cannot be imported, so
// that the cache of go test depends on them.
func readCommandSources() error {
	names, err := filepath.Glob(filepath.Join(moduleRoot, "cmd", "*", "*.go"))
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, err := os.ReadFile(filepath.Clean(name)); err != nil {
			return fmt.Errorf("read commands: %w", err)
		}
	}
	return nil
}

func buildPrograms() error {
	build := exec.Command("go", "build", "-o", binDir+string(filepath.Separator), "./cmd/...")
	build.Dir = moduleRoot
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build programs: %w\n%s", err, out)
	}
	return nil
}

func programPath(name string) string { return filepath.Join(binDir, name) }
