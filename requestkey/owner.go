package requestkey

import "github.com/cespare/xxhash/v2"

// hashBufferBytes is the initial capacity of the hash input. It is enough for the usual
// lengths of workspace, key and router name.
const hashBufferBytes = 256

// ownerOf returns the owner of a key by rendezvous hashing: the router with the highest
// xxHash64 of workspace, key and router name, joined by zero bytes. Among equal hashes the
// lesser name wins. The router named except is left out. It returns false if no router is
// left.
func ownerOf(routers []Member, id ID, except string) (Member, bool) {
	buffer := make([]byte, 0, hashBufferBytes)
	buffer = append(buffer, id.Workspace...)
	buffer = append(buffer, 0)
	buffer = append(buffer, id.Key...)
	buffer = append(buffer, 0)
	prefix := len(buffer)
	var owner Member
	var best uint64
	found := false
	for _, m := range routers {
		if m.Name == except {
			continue
		}
		buffer = append(buffer[:prefix], m.Name...)
		score := xxhash.Sum64(buffer)
		if !found || score > best || score == best && m.Name < owner.Name {
			owner, best, found = m, score, true
		}
	}
	return owner, found
}
