package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The programs under test are built from these packages. Without the imports,
	// go test would not see changes to them and would reuse cached results.
	_ "github.com/chiveseam/chiveseam/internal/operator"
	_ "github.com/chiveseam/chiveseam/router"
	_ "github.com/chiveseam/chiveseam/settings"
)

// moduleRoot is the root directory of the module, relative to this package.
const moduleRoot = "../.."

// binDir is the directory of the programs under test. runTests sets it once,
// before any test starts.
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

// readCommandSources reads the sources of the main packages. They cannot be
// imported; go test reruns the tests when a file that they read has changed.
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

// buildPrograms builds all commands of the module into binDir.
func buildPrograms() error {
	build := exec.Command("go", "build", "-o", binDir+string(filepath.Separator), "./cmd/...")
	build.Dir = moduleRoot
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build programs: %w\n%s", err, out)
	}
	return nil
}

func programPath(name string) string { return filepath.Join(binDir, name) }
