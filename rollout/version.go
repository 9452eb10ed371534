package rollout

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/chiveseam/chiveseam/config"
)

// Version identifies a published configuration. The zero Version stands for
// none and is below all others.
type Version struct {
	Revision uint64
	Digest   config.Digest
}

// Compare returns -1, 0 or 1 by revision, then by digest.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Revision, w.Revision), bytes.Compare(v.Digest[:], w.Digest[:]))
}

// String returns the revision and the first bytes of the digest.
func (v Version) String() string {
	return fmt.Sprintf("%d/%x", v.Revision, v.Digest[:4])
}

// conflicts returns whether two versions have one revision but two payloads.
func (v Version) conflicts(w Version) bool {
	return v.Revision == w.Revision && v.Digest != w.Digest
}
