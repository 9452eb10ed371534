package operator

import (
	"errors"
	"io"
	"testing"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Failure: a hostile file in either format, or one between them, stops the check by a panic, or gives an
// error for which chiveseamctl does not exit as for a file that cannot be decoded.
func FuzzDecodeDocument(f *testing.F) {
	c := &v1.Configuration{Deployment: "d", Workspaces: []*v1.Workspace{{Name: "shop", Share: 40, TokenSha256: [][]byte{{1}}}}}
	serialized, err := Encode(c)
	if err != nil {
		f.Fatal(err)
	}
	text, err := EncodeConfigurationJSON(c)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{serialized, text, []byte(`{"workspaces":[{"share":-1}],"zones":{}}`), []byte(`{"version":1,"deployment":"d"}`), []byte(" [")} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		d, err := decodeDocument("file", content)
		var input InputError
		if err != nil {
			if !errors.As(err, &input) || input.Err == nil || input.Err.Error() == "" {
				t.Fatalf("not of type InputError: %v", err)
			}
			return
		}
		if (d.routes == nil) == (d.pools == nil) {
			t.Fatal("not one of the formats")
		}
		if d.routes != nil {
			return // platform.FuzzDescribeConfiguration
		}
		findings, err := d.acceptFindings()
		if err != nil {
			return
		}
		if err := PrintCheck(io.Discard, &CheckResult{File: "file", Findings: findings}, true); err != nil {
			t.Fatal(err)
		}
	})
}
