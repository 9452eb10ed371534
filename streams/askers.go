package streams

import (
	"net/netip"
	"time"
)

// maxAskers is the largest number of streams within a lifetime of which Askers remembers who has asked for them.
const maxAskers = 10_000

// Askers remembers which routers have asked whether a stream has gone on elsewhere, and may then have gone on with it: a router that
// asks most of the others learns of each one that asked most of them before. It forgets between one and two lifetimes after the
// question. It is not safe for concurrent use.
type Askers struct {
	// recent holds the numbers of the latest questions since rotatedAt, older those of the lifetime before.
	recent, older map[ID]map[netip.AddrPort]uint64
	rotatedAt     time.Time
}

// Ask records that a router asks for a stream. Its questions have increasing numbers.
func (a *Askers) Ask(now time.Time, id ID, router netip.AddrPort, number uint64) {
	if now.Sub(a.rotatedAt) >= Lifetime || len(a.recent) >= maxAskers {
		a.older, a.recent, a.rotatedAt = a.recent, make(map[ID]map[netip.AddrPort]uint64), now
	}
	if a.recent[id] == nil {
		a.recent[id] = make(map[netip.AddrPort]uint64)
	}
	a.recent[id][router] = max(number, a.recent[id][router])
}

// Withdraw records that a router has not gone on with a stream after the question with a number.
func (a *Askers) Withdraw(id ID, router netip.AddrPort, number uint64) {
	for _, asked := range []map[ID]map[netip.AddrPort]uint64{a.recent, a.older} {
		if asked[id][router] <= number {
			delete(asked[id], router)
		}
	}
}

// Of returns the routers other than one that have asked for a stream.
func (a *Askers) Of(id ID, other netip.AddrPort) []netip.AddrPort {
	var list []netip.AddrPort
	for _, asked := range []map[ID]map[netip.AddrPort]uint64{a.recent, a.older} {
		for router := range asked[id] {
			if router != other {
				list = append(list, router)
			}
		}
	}
	return list
}
