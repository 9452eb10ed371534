// Command settingsgen generates the Go code and the reference page of the settings from the
// schema's message RouterSettings. Its argument is the root directory of the module, by default
// the working directory.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const filePermissions = 0o644

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
	for _, output := range outputs {
		content, err := output.generate()
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(root, filepath.FromSlash(output.path)), content, filePermissions); err != nil {
			return err
		}
	}
	return nil
}
