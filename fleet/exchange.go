package fleet

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/rendezvous"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Next returns the routers to exchange messages with now, by name, and counts
// an attempt for each. It is to be called about every 100 ms. Watched routers
// are due every HeartbeatInterval (silent ones every ProbeInterval), and ring
// neighbours at once when they lack a change. A forgotten router is due now and
// then.
func (v *View) Next(now time.Time) []Member {
	var due []Member
	watched := v.watched(now)
	v.probeInterval = v.probeIntervalFor(watched)
	for _, name := range v.neighbours(watched) {
		p := v.peer(name)
		if now.Sub(p.lastAttempt) < v.opts.PushInterval {
			continue
		}
		interval := v.opts.HeartbeatInterval
		if v.down[name] {
			interval = v.probeInterval
		}
		heartbeat := slices.Contains(watched, name) && p.quietFor(now) >= interval
		if heartbeat || v.pushDue(name, p) {
			p.attempt(now, v.attemptMemory())
			due = append(due, memberOf(v.router(name)))
		}
	}
	if leaving, ok := v.leavingToProbe(now); ok {
		due = append(due, leaving)
	}
	if lost, ok := v.forgottenToProbe(now); ok {
		due = append(due, lost)
	}
	return due
}

// watched returns the members that the router contacts regularly: all others
// in a full mesh, else its ring successors. A leaving router is on no ring and
// contacts a few members that it draws by rendezvous hashing.
func (v *View) watched(now time.Time) []string {
	others := slices.DeleteFunc(slices.Clone(v.rings.names), func(name string) bool {
		return name == v.self.Name
	})
	if v.fullMesh() {
		return others
	}
	if v.leavingAt(v.self.Name, v.self.Incarnation) {
		up := slices.DeleteFunc(others, func(name string) bool { return v.down[name] })
		return rendezvous.Rank(v.self.Name, up, v.opts.Rings)
	}
	return v.rings.watched(v.self.Name, v.down, v.answeredSince(now))
}

// answeredSince returns whether a router answered within SuspectAfter.
func (v *View) answeredSince(now time.Time) func(name string) bool {
	return func(name string) bool {
		p := v.peers[name]
		return p != nil && p.answered(now, v.opts.SuspectAfter)
	}
}

// neighbours returns the watched members and those that watch the router.
func (v *View) neighbours(watched []string) []string {
	watchers := v.rings.watchers(v.self.Name, v.down)
	return sortedUnique(slices.Concat(watched, watchers))
}

// probeIntervalFor slows probes down when many members are silent, so that a
// router that is cut off from the fleet makes few attempts a second.
func (v *View) probeIntervalFor(watched []string) time.Duration {
	silent := 0
	for _, name := range watched {
		if v.down[name] {
			silent++
		}
	}
	interval := time.Duration(silent) * v.opts.PushInterval
	return min(max(v.opts.ProbeInterval, interval), maxProbeInterval)
}

// pushDue returns whether a reachable neighbour lacks a change or the list.
func (v *View) pushDue(name string, p *peer) bool {
	if v.down[name] || p.lastAnswer.IsZero() {
		return false
	}
	return p.listRevision < v.list.Revision || len(v.log.after(p.acked, name)) > 0
}

// StateFor returns the message for a router: what it has not acknowledged of
// the leaving marks, reports, joined routers, configuration version and list.
// The caller may add suspects and counters. It serves requests and answers.
func (v *View) StateFor(receiver string) *v1.PeerState {
	p := &peer{}
	if known, ok := v.peers[receiver]; ok {
		p = known
	}
	acked := p.acked
	if acked > v.log.seq {
		acked = 0
	}
	state := &v1.PeerState{
		Router:         v.self.Name,
		Incarnation:    v.self.Incarnation,
		ConfigRevision: v.config.Revision,
		ListRevision:   v.list.Revision,
		Stopping:       v.stopping,
		Seq:            v.log.seq,
		DeltaFrom:      acked,
		Ack:            p.merged,
	}
	if acked == 0 {
		state.Self = v.self
		state.Zone = v.self.Zone
	}
	if p.listRevision < v.list.Revision && v.knowsListOf(p) {
		state.ListAsOfUnixMs = v.list.AsOfUnixMs
		state.ListPublishedUnixMs = v.list.PublishedUnixMs
		v.writeList(state, p.listRevision)
	}
	for _, c := range v.log.after(acked, receiver) {
		v.writeChange(state, c)
	}
	return state
}

// knowsListOf returns whether the router has told its list revision; before,
// no list is sent, since it may hold the same.
func (v *View) knowsListOf(p *peer) bool {
	return !p.lastAnswer.IsZero()
}

func (v *View) writeChange(state *v1.PeerState, c change) {
	switch c.kind {
	case changeLeaving:
		m := &v1.Leaving{Instance: c.name, Incarnation: v.leaving[c.name].incarnation}
		state.Leaving = append(state.Leaving, m)
	case changeReport:
		state.SilenceReports = append(state.SilenceReports, v.reports[c.name])
	case changeUnlisted:
		state.Unlisted = append(state.Unlisted, v.unlistedRouter(c.name))
	case changeConfig:
		state.ConfigDigest = []byte(v.config.Digest)
	}
}

func (v *View) unlistedRouter(name string) *v1.UnlistedRouter {
	if name == v.self.Name {
		return &v1.UnlistedRouter{Instance: v.self, Beat: v.beat}
	}
	u := v.unlisted[name]
	return &v1.UnlistedRouter{Instance: u.instance, Beat: u.beat}
}

// Merged is what a message changed in the view.
type Merged struct {
	// Ignored is set for messages of an earlier incarnation or of an unknown
	// router that does not describe itself.
	Ignored bool
	// List is set when a newer list came into force.
	List bool
	// Leaving is set when leaving marks were added.
	Leaving bool
	// Config is the version that the sender has in force.
	Config ConfigVersion
}

// Merge takes in a message of another router, a request or an answer. It
// counts as contact.
func (v *View) Merge(now time.Time, state *v1.PeerState) Merged {
	if state.Router == v.self.Name {
		return Merged{Ignored: true}
	}
	v.meet(now, state.Self)
	if !v.accepts(state) {
		return Merged{Ignored: true}
	}
	marks := v.marksAdded
	var merged Merged
	p := v.peer(state.Router)
	p.answer(now)
	p.acked = state.Ack
	p.listRevision = state.ListRevision
	merged.Config = p.mergeConfig(state)
	v.mergeLeaving(now, state)
	merged.List = v.mergeList(now, state)
	for _, u := range state.Unlisted {
		v.mergeUnlisted(now, u, state.Router)
	}
	if u := v.unlisted[state.Router]; u != nil {
		u.refreshed = now
	}
	for _, report := range state.SilenceReports {
		v.mergeReport(report, state.Router)
	}
	merged.Leaving = v.marksAdded != marks
	v.acknowledge(state)
	return merged
}

// accepts returns whether a message comes from the known incarnation of its
// sender. A sender of a newer one is made to describe itself.
func (v *View) accepts(state *v1.PeerState) bool {
	known := v.router(state.Router)
	if known == nil {
		return false
	}
	if state.Incarnation > known.Incarnation {
		delete(v.peers, state.Router)
	}
	return state.Incarnation == known.Incarnation
}

func (v *View) mergeLeaving(now time.Time, state *v1.PeerState) {
	if state.Stopping {
		v.markLeaving(now, state.Router, state.Incarnation, "")
	}
	for _, m := range state.Leaving {
		v.markLeaving(now, m.Instance, m.Incarnation, state.Router)
	}
}

// acknowledge notes the changes that were merged, unless some are missing.
func (v *View) acknowledge(state *v1.PeerState) {
	p := v.peer(state.Router)
	if state.DeltaFrom <= p.merged {
		p.merged = max(p.merged, state.Seq)
	}
}

// mergeConfig returns the sender's version; the digest travels once only.
func (p *peer) mergeConfig(state *v1.PeerState) ConfigVersion {
	if len(state.ConfigDigest) > 0 || state.ConfigRevision != p.config.Revision {
		p.config = ConfigVersion{Revision: state.ConfigRevision, Digest: string(state.ConfigDigest)}
	}
	return p.config
}

// ConfigOf returns the configuration version that a router told last.
func (v *View) ConfigOf(name string) (ConfigVersion, bool) {
	p, ok := v.peers[name]
	if !ok || p.lastAnswer.IsZero() {
		return ConfigVersion{}, false
	}
	return p.config, true
}
