package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestCommittedCodeIsCurrent(t *testing.T) {
	is := is.New(t)
	want, err := generate()
	is.NoErr(err)
	got, err := os.ReadFile(filepath.Join("..", "..", "..", filepath.FromSlash(outputPath)))
	is.NoErr(err)
	is.Equal(string(got), string(want)) // run make generate
}
