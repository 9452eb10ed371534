package requestkey

import "github.com/cespare/xxhash/v2"

// ownerOf returns the router with the highest xxHash64 of the key, a zero byte
// and the router's name; equal scores go to the lesser name. The router named
// except is left out.
func ownerOf(routers []Member, id ID, except string) (Member, bool) {
	prefix := id.Workspace + "\x00" + id.Key + "\x00"
	var owner Member
	var best uint64
	found := false
	for _, m := range routers {
		if m.Name == except {
			continue
		}
		score := xxhash.Sum64String(prefix + m.Name)
		if !found || score > best || score == best && m.Name < owner.Name {
			owner, best, found = m, score, true
		}
	}
	return owner, found
}
