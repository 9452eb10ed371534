package ratelimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shortestLifetime is the shortest time for which a permit of NewBounded can be used. A shorter one
	// would admit a higher rate, but routers with few requests would not use their permits.
	shortestLifetime = 400 * time.Millisecond
	// spread is the largest difference of the times at which a target gets two requests that were sent
	// at the same time of day: 100 ms between clocks and 50 ms between ways to the target.
	spread = 150 * time.Millisecond
)

// NewBounded returns a Limiter with two limits: no second has more requests at the target than the bound
// most, which is at least 1, and in the long run there are rate requests per second if the bound allows it.
//
// The requests of a second use permits that were issued in that second, a lifetime before it or spread
// after it. The lifetime is as long as the bound allows at the rate; if that is too short for the permits
// to be used, the rate is lower.
func NewBounded(now time.Time, hash uint64, rate, most float64) *Limiter {
	most = math.Floor(most) * (1 - 1e-9)
	rate = min(max(rate, MinRate), maxRate, most/(time.Second+shortestLifetime+spread).Seconds())
	l := New(now, hash, rate)
	l.life = min(minLifetime, time.Duration(most/rate*float64(time.Second))-time.Second-spread)
	return l
}

// Candidates owns the permits for which this router has the highest rank of all routers that it knows.
type Candidates struct {
	self   uint64
	others []uint64
}

// NewCandidates returns the permits of the router self. It makes a copy of the names.
func NewCandidates(self string, others []string) *Candidates {
	c := &Candidates{self: xxhash.Sum64String(self)}
	for _, name := range others {
		c.others = append(c.others, xxhash.Sum64String(name))
	}
	return c
}

// Owns reports whether the router owns the permit at a position.
func (c *Candidates) Owns(position uint64) bool {
	own := rank(c.self, position)
	for _, other := range c.others {
		if rank(other, position) > own {
			return false
		}
	}
	return true
}

// rank returns the rank of a router for the permit at a position.
func rank(router, position uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], router)
	binary.LittleEndian.PutUint64(key[8:], position)
	return xxhash.Sum64(key[:])
}
