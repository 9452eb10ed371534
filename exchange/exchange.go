// Package exchange keeps the list of routers that swap load reports.
//
// Routers find each other through seeds: a router sends its reports to all it
// knows and to the seeds, and each report names some other members. A member
// that is silent for a while is no longer counted, but still tried now and then,
// so that both sides of a partition find each other again without the seeds.
//
// The package holds no goroutine, clock or socket. Members is not safe for
// concurrent use.
package exchange

import (
	"math/rand/v2"
	"net/netip"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// retryInterval is the time between reports to an address that does not answer.
	retryInterval = time.Second
	// forgetAfter is how long a silent member is still tried: longer than a restart
	// or a usual partition.
	forgetAfter = 60 * time.Second
	// namedMembers is the number of members named in a usual report, and allNamed
	// that in an answer to a router that starts.
	namedMembers = 4
	allNamed     = 60
	// minInterval is the time between reports in a small fleet.
	minInterval = 100 * time.Millisecond
	// reportsPerSecond bounds what a router receives; larger fleets report less often.
	reportsPerSecond = 600
)

// Members is one router's list of the others.
type Members struct {
	self    netip.AddrPort
	timeout time.Duration
	seeds   []netip.AddrPort
	members map[netip.AddrPort]*member
	random  *rand.Rand
	most    int
}

type member struct {
	heard time.Time
	tried time.Time
}

// New returns an empty list. A member counts as live until it was silent for
// timeout. The seed of random numbers spreads the members that reports name.
func New(self netip.AddrPort, timeout time.Duration, seed uint64) *Members {
	return &Members{
		self:    self,
		timeout: timeout,
		members: make(map[netip.AddrPort]*member),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetSeeds sets the addresses that are tried always.
func (m *Members) SetSeeds(seeds []netip.AddrPort) {
	m.seeds = nil
	for _, seed := range seeds {
		if seed != m.self {
			m.seeds = append(m.seeds, seed)
		}
	}
}

// Heard takes a report of another router that came from address. It reports
// whether the router is new or was silent.
func (m *Members) Heard(now time.Time, address netip.AddrPort, r *v1.LoadReport) bool {
	if address == m.self {
		return false
	}
	for _, text := range r.Members {
		if named, err := netip.ParseAddrPort(text); err == nil {
			m.learn(now, named)
		}
	}
	if r.Leaving {
		delete(m.members, address)
		return false
	}
	known := m.learn(now, address)
	joined := now.Sub(known.heard) > m.timeout
	known.heard = now
	m.most = max(m.most, m.Live(now))
	return joined
}

// learn adds an address that is tried from now on.
func (m *Members) learn(now time.Time, address netip.AddrPort) *member {
	known, ok := m.members[address]
	if !ok {
		known = &member{}
		if address != m.self {
			m.members[address] = known
		}
	}
	if known.tried.IsZero() {
		known.tried = now.Add(-retryInterval)
	}
	return known
}

// Live returns the number of other routers that were heard of lately.
func (m *Members) Live(now time.Time) int {
	n := 0
	for _, known := range m.members {
		if now.Sub(known.heard) <= m.timeout {
			n++
		}
	}
	return n
}

// Most returns the largest number of routers seen at a time, this one included.
func (m *Members) Most() int { return m.most + 1 }

// Interval returns the time between two reports.
func (m *Members) Interval(now time.Time) time.Duration {
	return max(minInterval, time.Duration(m.Live(now))*time.Second/reportsPerSecond)
}

// Recipient is a router that gets a report.
type Recipient struct {
	Address netip.AddrPort
	// Answer asks it for a report at once: it was not heard of lately.
	Answer bool
}

// Recipients returns where a report is sent: the live members, and from time to
// time those that are silent.
func (m *Members) Recipients(now time.Time) []Recipient {
	var out []Recipient
	for _, seed := range m.seeds {
		m.learn(now, seed)
	}
	for address, known := range m.members {
		switch {
		case now.Sub(known.heard) <= m.timeout:
			out = append(out, Recipient{Address: address})
		case now.Sub(known.tried) >= retryInterval:
			known.tried = now
			out = append(out, Recipient{Address: address, Answer: true})
		}
		if m.forgotten(now, address, known) {
			delete(m.members, address)
		}
	}
	return out
}

func (m *Members) forgotten(now time.Time, address netip.AddrPort, known *member) bool {
	for _, seed := range m.seeds {
		if seed == address {
			return false
		}
	}
	return !known.heard.IsZero() && now.Sub(known.heard) > forgetAfter
}

// Named returns the addresses that a report names: a few, or nearly all for a
// router that starts.
func (m *Members) Named(now time.Time, starting bool) []string {
	n := namedMembers
	if starting {
		n = allNamed
	}
	var live []string
	for address, known := range m.members {
		if now.Sub(known.heard) <= m.timeout {
			live = append(live, address.String())
		}
	}
	m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}
