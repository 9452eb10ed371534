// Package exchange keeps the membership list of the routers that exchange load reports,
// by gossip.
//
// Routers find each other through seeds, a configured list of router addresses. A router
// sends its load reports to the seeds and to all members it knows, and some reports carry
// the addresses of other members. A member that sends no report for the timeout is no
// longer live, but still gets a report about once a second, so that both sides of a
// network partition find each other again even if all seeds are on one side.
//
// Each report states what is new, in a few successive reports. A router that misses more of them in a row,
// because it has started, was cut off or was stopped, asks their sender for an answer that states all it
// knows, until that has come in full.
//
// Traffic between availability zones is expensive: a report to the routers of another zone is
// sent to one of them, which forwards it to the others. The forwarding router is drawn anew for
// each report, so that one that has failed loses few reports until its silence is noticed.
//
// The package has no goroutine, clock or socket: callers pass in the current time and send
// and receive the reports. Members is not safe for concurrent use.
package exchange

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// silentRetryInterval is the time between reports to a member that sends none.
	silentRetryInterval = time.Second
	// forgetAfter is the time without reports after which a member is removed from the
	// list. It is longer than a restart or a usual network partition.
	forgetAfter = 60 * time.Second
	// sampleSize is the largest number of members named in a regular report, and
	// answerSampleSize that in an answer to a router that asked for one.
	sampleSize       = 4
	answerSampleSize = 60
	// minReportInterval is the time between two reports of a router in a fleet of up
	// to 60 other routers.
	minReportInterval = 100 * time.Millisecond
	// maxReportsPerSecond limits the reports that a router receives from all others:
	// in larger fleets each router sends its reports less often.
	maxReportsPerSecond = 600
	// minForwardedZone is the number of live members of another zone from which reports to them are
	// forwarded by one of them. With fewer, a lost forwarder costs more than the traffic saves.
	minForwardedZone = 8
	// forwarderFreshness is the largest silence of a member that is drawn to forward, in report
	// intervals: a member that has failed stays live until the timeout.
	forwarderFreshness = 4
)

// Members is one router's list of the other routers.
type Members struct {
	self netip.AddrPort
	// zone is the availability zone of this router.
	zone string
	// timeout is the silence after which a member is no longer live.
	timeout time.Duration
	seeds   []netip.AddrPort
	// alone is set if there are no seeds, not even this router itself.
	alone bool
	// members holds the other routers and the seeds by address, live and silent ones.
	members map[netip.AddrPort]*member
	random  *rand.Rand
	// maxLive is the largest number of live members so far.
	maxLive int
	// started is when this router started, informed what Informed returned last.
	started  time.Time
	informed bool
}

// member is another router or a seed.
type member struct {
	// lastHeard is when the member's last report came; zero if none has come.
	lastHeard time.Time
	// lastTried is when the member was last asked for an answer. Its initial value makes the next
	// report go to a new member.
	lastTried time.Time
	// statements is what has come of the member's statements. informed is set if it knows what the others
	// knew before it started.
	statements statements
	informed   bool
	// zone is the member's availability zone; "" if it is not known. forwards is set if the member
	// forwards reports.
	zone     string
	forwards bool
	// left is set if the member has said that it leaves, and not reported since.
	left bool
}

// New returns an empty list for the router with address self in an availability zone, which started at a
// time. A member is live for timeout after its last report. seed seeds the random choice of the members that
// a report names; routers should use different seeds.
func New(self netip.AddrPort, zone string, started time.Time, timeout time.Duration, seed uint64) *Members {
	return &Members{
		started: started,
		alone:   true,
		self:    self,
		zone:    zone,
		timeout: timeout,
		members: make(map[netip.AddrPort]*member),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetSeeds replaces the seeds: addresses that get reports even if they never send any.
func (m *Members) SetSeeds(seeds []netip.AddrPort) {
	m.seeds = nil
	m.alone = len(seeds) == 0
	for _, seed := range seeds {
		if seed != m.self {
			m.seeds = append(m.seeds, seed)
		}
	}
}

// Heard says what a report has changed.
type Heard struct {
	// Joined is set if the router was not live before.
	Joined bool
	// Missed is set if earlier reports of the router are found to be missing, and CaughtUp if it has now
	// told in full what it knows.
	Missed, CaughtUp bool
}

// HandleReport processes a report that another router sent from address, and the members that
// it names. A router whose report says that it is leaving is no longer live. It stays in the list as a silent one,
// since it may start again at its address while no seed is there to tell it of the others.
func (m *Members) HandleReport(now time.Time, address netip.AddrPort, r *v1.LoadReport) Heard {
	if address == m.self {
		return Heard{}
	}
	for _, text := range r.Members {
		if named, err := netip.ParseAddrPort(text); err == nil {
			m.addMember(now, named)
		}
	}
	if r.Leaving {
		if known, ok := m.members[address]; ok {
			known.left = true
			if now.Sub(known.lastHeard) <= m.timeout {
				known.lastHeard, known.lastTried = now.Add(-m.timeout-1), now
			}
		}
		return Heard{}
	}
	known := m.addMember(now, address)
	heard := Heard{Joined: now.Sub(known.lastHeard) > m.timeout}
	known.lastHeard, known.left = now, false
	known.zone, known.forwards, known.informed = r.Zone, r.Forwards, r.Informed
	missed := known.statements.missed
	heard.CaughtUp = known.statements.handle(r)
	heard.Missed = known.statements.missed && !missed
	m.informed = m.informed || heard.CaughtUp && r.Informed
	if heard.Joined {
		m.maxLive = max(m.maxLive, m.LiveCount(now))
	}
	return heard
}

// addMember returns the member with an address, and adds it if it is unknown. A new member
// is due for a report at once. The router's own address is never added to the list.
func (m *Members) addMember(now time.Time, address netip.AddrPort) *member {
	known, ok := m.members[address]
	if !ok {
		known = &member{}
		if address != m.self {
			m.members[address] = known
		}
	}
	if known.lastTried.IsZero() {
		known.lastTried = now.Add(-silentRetryInterval)
	}
	return known
}

// LiveCount returns the number of other routers that sent a report within the timeout.
func (m *Members) LiveCount(now time.Time) int {
	n := 0
	for _, known := range m.members {
		if now.Sub(known.lastHeard) <= m.timeout {
			n++
		}
	}
	return n
}

// Running returns the addresses of the routers that may be running: all that have sent a report and have not said that they leave,
// silent ones too.
func (m *Members) Running() []netip.AddrPort {
	var list []netip.AddrPort
	for address, known := range m.members {
		if !known.lastHeard.IsZero() && !known.left {
			list = append(list, address)
		}
	}
	return list
}

// Routers returns the largest number of routers, including this one, that there may be or may have been at a time: those that were live,
// or all that this one has heard of but for those that have said that they leave. It counts seeds and routers that others have named,
// which this one may never have heard since it started.
func (m *Members) Routers() int {
	n := 0
	for _, known := range m.members {
		if !known.left {
			n++
		}
	}
	return max(m.maxLive, n) + 1
}

// LastHeard returns when the latest report of another router came; zero if none has.
func (m *Members) LastHeard() time.Time {
	var last time.Time
	for _, known := range m.members {
		if known.lastHeard.After(last) {
			last = known.lastHeard
		}
	}
	return last
}

// PeakRouters returns the largest number of routers that were live at the same time, including
// this one.
func (m *Members) PeakRouters() int { return m.maxLive + 1 }

// Part returns this router's part of what the fleet divides evenly, between 0 and 1. It counts all routers that were live at a time,
// the seeds, and one more that it may not have heard of. A router that knows seeds and has heard no other router since it started has
// no part: it may be cut off, and the others have the whole.
func (m *Members) Part() float64 {
	if m.maxLive == 0 && len(m.seeds) > 0 {
		return 0
	}
	return 1 / float64(max(m.maxLive, len(m.members))+2)
}

// Interval returns the time that a router waits between two reports. It grows with the
// number of live members, so that each receives at most maxReportsPerSecond.
func (m *Members) Interval(now time.Time) time.Duration {
	return max(minReportInterval, time.Duration(m.LiveCount(now))*time.Second/maxReportsPerSecond)
}

// Recipient is a router to which a report is sent.
type Recipient struct {
	Address netip.AddrPort
	// Answer is set for a router that is asked to tell in full what it knows: a silent one, or one of
	// which statements were missed.
	Answer bool
	// Forward is set for a router that passes the report on to the other routers of its zone.
	Forward bool
}

// Recipients returns the routers to which the report at now is sent: the live members of this
// router's zone, one live member of each other zone that forwards it, and each silent member once per
// silentRetryInterval. Members that have been silent for longer than forgetAfter are removed from the
// list, except seeds and members that have never sent a report.
func (m *Members) Recipients(now time.Time) []Recipient {
	var out []Recipient
	for _, seed := range m.seeds {
		m.addMember(now, seed)
	}
	remote := make(map[string][]netip.AddrPort)
	for address, known := range m.members {
		switch {
		case now.Sub(known.lastHeard) <= m.timeout:
			if known.zone != m.zone && known.forwards {
				remote[known.zone] = append(remote[known.zone], address)
				continue
			}
			out = append(out, Recipient{Address: address})
		case now.Sub(known.lastTried) >= silentRetryInterval:
			known.lastTried = now
			out = append(out, Recipient{Address: address, Answer: true})
		}
		if m.expired(now, address, known) {
			delete(m.members, address)
		}
	}
	for _, zone := range remote {
		out = append(out, m.zoneRecipients(now, zone)...)
	}
	return m.addQuestions(now, out)
}

// zoneRecipients returns the recipients for the live members of another zone: the one that forwards
// the report, or all of them if they are few or none was heard of lately.
func (m *Members) zoneRecipients(now time.Time, addresses []netip.AddrPort) []Recipient {
	if len(addresses) >= minForwardedZone {
		slices.SortFunc(addresses, netip.AddrPort.Compare)
		freshness := forwarderFreshness * m.Interval(now)
		for _, i := range m.random.Perm(len(addresses)) {
			if now.Sub(m.members[addresses[i]].lastHeard) <= freshness {
				return []Recipient{{Address: addresses[i], Forward: true}}
			}
		}
	}
	out := make([]Recipient, 0, len(addresses))
	for _, address := range addresses {
		out = append(out, Recipient{Address: address})
	}
	return out
}

// ForwardTo returns the routers to which this router forwards a report of origin: the other live
// members of its zone.
func (m *Members) ForwardTo(now time.Time, origin netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for address, known := range m.members {
		if address != origin && known.zone == m.zone && now.Sub(known.lastHeard) <= m.timeout {
			out = append(out, address)
		}
	}
	return out
}

// expired reports whether a member is removed from the list: it has sent reports before,
// is silent for longer than forgetAfter, and is no seed.
func (m *Members) expired(now time.Time, address netip.AddrPort, known *member) bool {
	for _, seed := range m.seeds {
		if seed == address {
			return false
		}
	}
	return !known.lastHeard.IsZero() && now.Sub(known.lastHeard) > forgetAfter
}

// SampleMembers returns the addresses of random live members that a report names: sampleSize in
// a regular report, or answerSampleSize in an answer to a router that asked for one.
func (m *Members) SampleMembers(now time.Time, inAnswer bool) []string {
	n := sampleSize
	if inAnswer {
		n = answerSampleSize
	}
	var live []string
	for address, known := range m.members {
		if now.Sub(known.lastHeard) <= m.timeout {
			live = append(live, address.String())
		}
	}
	m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}
