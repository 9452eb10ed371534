package streams

import (
	"net/netip"
	"time"
)

// maxAskers is the largest number of streams within a lifetime of which Askers remembers who has asked for them.
const maxAskers = 10_000

// Askers remembers which routers have asked whether a stream has gone on elsewhere, and may then have gone on with it: a router that
// asks most of the others learns of each one that asked most of them before. It forgets between one and two lifetimes after the
// question. Questions have increasing numbers, also over the starts of a router. It is not safe for concurrent use.
type Askers struct {
	// recent holds the numbers of the latest questions since rotatedAt, older those of the lifetime before.
	recent, older map[ID]map[netip.AddrPort]uint64
	rotatedAt     time.Time
}

// Ask records that a router asks for a stream. The number of the first question since its start is above start. The question of an
// earlier start stays: the router no longer knows whether it went on with the stream.
func (a *Askers) Ask(now time.Time, id ID, router netip.AddrPort, start, number uint64) {
	if now.Sub(a.rotatedAt) >= Lifetime || len(a.recent) >= maxAskers {
		a.older, a.recent, a.rotatedAt = a.recent, make(map[ID]map[netip.AddrPort]uint64), now
	}
	known, ok := a.Of(id)[router]
	if ok && known < start {
		return
	}
	if a.recent[id] == nil {
		a.recent[id] = make(map[netip.AddrPort]uint64)
	}
	a.recent[id][router] = max(number, known)
}

// Withdraw records that a router has not gone on with a stream between its start and the question with a number.
func (a *Askers) Withdraw(id ID, router netip.AddrPort, start, number uint64) {
	for _, asked := range []map[ID]map[netip.AddrPort]uint64{a.recent, a.older} {
		if known := asked[id][router]; start <= known && known <= number {
			delete(asked[id], router)
		}
	}
}

// Of returns the routers that have asked for a stream, with the numbers of their latest questions.
func (a *Askers) Of(id ID) map[netip.AddrPort]uint64 {
	numbers := make(map[netip.AddrPort]uint64)
	for _, asked := range []map[ID]map[netip.AddrPort]uint64{a.recent, a.older} {
		for router, number := range asked[id] {
			numbers[router] = max(number, numbers[router])
		}
	}
	return numbers
}
