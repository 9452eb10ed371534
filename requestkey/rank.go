package requestkey

import "github.com/cespare/xxhash/v2"

// hashedBytes is enough for the usual lengths of workspace, key and name.
const hashedBytes = 256

// ownerOf returns the router with the highest xxHash64 of workspace, key and
// the router's name, joined by zero bytes; equal scores go to the lesser name. The router named
// except is left out.
func ownerOf(routers []Member, id ID, except string) (Member, bool) {
	hashed := make([]byte, 0, hashedBytes)
	hashed = append(hashed, id.Workspace...)
	hashed = append(hashed, 0)
	hashed = append(hashed, id.Key...)
	hashed = append(hashed, 0)
	prefix := len(hashed)
	var owner Member
	var best uint64
	found := false
	for _, m := range routers {
		if m.Name == except {
			continue
		}
		hashed = append(hashed[:prefix], m.Name...)
		score := xxhash.Sum64(hashed)
		if !found || score > best || score == best && m.Name < owner.Name {
			owner, best, found = m, score, true
		}
	}
	return owner, found
}
