package rollout

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/chiveseam/chiveseam/config"
)

// Version identifies a published configuration. The zero Version stands for no configuration
// and is lower than all others.
type Version struct {
	Revision uint64
	Digest   config.Digest
}

// Compare orders versions by revision, then by digest. It returns -1, 0 or 1.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Revision, w.Revision), bytes.Compare(v.Digest[:], w.Digest[:]))
}

// String returns the revision and the first four bytes of the digest, for logs.
func (v Version) String() string {
	return fmt.Sprintf("%d/%x", v.Revision, v.Digest[:4])
}

// conflictsWith reports whether v and w have the same revision but different payloads.
func (v Version) conflictsWith(w Version) bool {
	return v.Revision == w.Revision && v.Digest != w.Digest
}
