package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against a change of the schema or the templates that is committed without its generated
// files.
func TestCommittedFilesAreCurrent(t *testing.T) {
	for _, output := range outputs {
		t.Run(output.path, func(t *testing.T) {
			is := is.New(t)
			want, err := output.generate()
			is.NoErr(err)
			got, err := os.ReadFile(filepath.Join("..", "..", "..", filepath.FromSlash(output.path)))
			is.NoErr(err)
			is.Equal(string(got), string(want)) // otherwise run make generate
		})
	}
}
