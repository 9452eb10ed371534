// Package ratelimit divides a rate limit between the routers that share it, without messages.
//
// A limit of n requests per second issues n permits per second of the time of day, numbered from the
// Unix epoch. Each permit has a position in the range of uint64, and each router owns a Part of that
// range: it may use the permits whose positions are in its Part. The positions are the multiples of
// the golden ratio, a low-discrepancy sequence, so that each router's permits are evenly spaced. An
// unused permit expires after a short time: routers that were idle for long cannot all use saved
// permits at once.
//
// As long as the Parts of the routers do not overlap, the requests of any period are at most those that
// the limit allows in the period and in the lifetime of one permit. Clocks that differ between routers
// by less than a lifetime add little.
//
// Parts overlap while routers disagree on the division. Candidates are the stricter way to own permits:
// no two routers own a permit as long as each knows the other, whichever further routers either of them
// knows. NewBounded keeps a bound for each second with them.
//
// The package has no goroutine, clock or random source: callers pass in the current time. A Limiter is
// not safe for concurrent use.
package ratelimit

import (
	"math"
	"time"
)

const (
	// minLifetime is the time for which a permit can be used, if a permit is issued at least as often.
	minLifetime = time.Second
	// MinRate is the least rate in permits per second. A target that takes nothing gets a request now
	// and then, whose answer says whether the limit still holds.
	MinRate = 0.5
	// maxRate is the largest rate that is kept to: more requests per second come to no target.
	maxRate = 10_000
	// goldenRatio is 2^64 divided by the golden ratio.
	goldenRatio = 0x9E3779B97F4A7C15
)

// Part is the part of all permits that a router owns: those whose positions p have First <= p <= Last.
type Part struct {
	First, Last uint64
}

// Whole is the part of a router that is alone.
func Whole() Part { return Part{0, math.MaxUint64} }

// PartOf returns the part from the fraction from to the fraction to of the range, which are between 0
// and 1, from < to.
func PartOf(from, to float64) Part {
	p := Part{First: position(from), Last: math.MaxUint64}
	if to < 1 {
		p.Last = max(position(to), 1) - 1
	}
	return p
}

// position returns the position at a fraction of the range.
func position(fraction float64) uint64 {
	return uint64(min(max(fraction, 0), 1-1.0/(1<<53)) * (1 << 64))
}

// Owns reports whether the part has a position.
func (p Part) Owns(position uint64) bool { return p.First <= position && position <= p.Last }

// Owner says which permits a router owns, by their positions. Its values are comparable, and another
// value takes the place of one that owns other permits.
type Owner interface {
	Owns(position uint64) bool
}

// Limiter is one router's part of the limit of one target. Its zero value is not usable; see New.
type Limiter struct {
	// offset is the position of permit 0, which differs between targets.
	offset uint64
	rate   float64
	// life is the time for which a permit can be used; 0 selects minLifetime or the time between two
	// permits, whichever is longer.
	life  time.Duration
	owner Owner
	// next is the number of the next permit that the router owns, above that of dealt, the number of
	// the newest permit issued so far.
	next, dealt uint64
	// unused holds the times at which the owned permits that can still be used were issued.
	unused []time.Time
}

// New returns a Limiter for the target that a hash identifies, with a rate in requests per second. All
// routers must use the same hash. Permits issued before now cannot be used.
func New(now time.Time, hash uint64, rate float64) *Limiter {
	l := &Limiter{offset: hash, owner: Whole()}
	l.SetRate(now, rate)
	return l
}

// SetRate changes the rate.
func (l *Limiter) SetRate(now time.Time, rate float64) {
	rate = min(max(rate, MinRate), maxRate)
	if rate == l.rate {
		return
	}
	l.rate = rate
	l.dealt = l.newest(now)
	l.findNext()
}

// Wait returns the time until the router has a permit; 0 if it has one. owner says which
// permits the router owns now.
func (l *Limiter) Wait(now time.Time, owner Owner) time.Duration {
	l.advance(now, owner)
	if len(l.unused) > 0 {
		return 0
	}
	return max(l.issued(l.next).Sub(now), time.Nanosecond)
}

// Take uses the oldest permit, if there is one.
func (l *Limiter) Take() {
	if len(l.unused) > 0 {
		l.unused = l.unused[1:]
	}
}

// lifetime returns the time for which a permit can be used.
func (l *Limiter) lifetime() time.Duration {
	if l.life > 0 {
		return l.life
	}
	return max(minLifetime, time.Duration(float64(time.Second)/l.rate))
}

// newest returns the number of the newest permit issued at a time.
func (l *Limiter) newest(now time.Time) uint64 {
	return uint64(l.rate * (float64(now.UnixNano()) / float64(time.Second)))
}

// issued returns when a permit is issued.
func (l *Limiter) issued(number uint64) time.Time {
	return time.Unix(0, int64(float64(number)/l.rate*float64(time.Second)))
}

// advance collects the owned permits issued up to now and removes those that have expired.
func (l *Limiter) advance(now time.Time, owner Owner) {
	newest := l.newest(now)
	if newest < l.dealt || owner != l.owner {
		// The time of day was set back, or the router owns other permits.
		l.dealt, l.owner = min(l.dealt, newest), owner
		l.findNext()
	}
	if oldest := l.newest(now.Add(-l.lifetime())); l.dealt < oldest {
		l.dealt = oldest
		l.findNext()
	}
	for l.next <= newest {
		l.unused = append(l.unused, l.issued(l.next))
		l.dealt = l.next
		l.findNext()
	}
	l.dealt = max(l.dealt, newest)
	l.removeExpired(now)
}

// removeExpired removes the permits that can no longer be used.
func (l *Limiter) removeExpired(now time.Time) {
	for len(l.unused) > 0 {
		if age := now.Sub(l.unused[0]); age.Abs() < l.lifetime() {
			return
		}
		l.unused = l.unused[1:]
	}
}

// findNext sets next to the first owned permit after dealt.
func (l *Limiter) findNext() {
	l.next = l.dealt + 1
	at := l.offset + l.next*goldenRatio
	for !l.owner.Owns(at) {
		l.next++
		at += goldenRatio
	}
}
