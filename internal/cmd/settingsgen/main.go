// Command settingsgen writes the Go code of the settings from the schema's
// RouterSettings message. It takes the directory of the module as its argument.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// outputPath is relative to the directory of the module.
const outputPath = "settings/settings_gen.go"

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	if err := run(root); err != nil {
		fmt.Fprintln(os.Stderr, "settingsgen:", err)
		os.Exit(1)
	}
}

func run(root string) error {
	code, err := generate()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(root, filepath.FromSlash(outputPath)), code, 0o644)
}
