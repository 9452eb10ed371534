package fleet

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/rendezvous"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// DueContacts returns the routers to exchange messages with now and records an attempt for
// each. It is to be called about every 100 ms. Watched routers are due every HeartbeatInterval,
// or every ProbeInterval if they are silent. Ring neighbours that lack a change are due at
// once, at most every PushInterval. In addition, at most one leaving and one forgotten router
// are due.
func (v *View) DueContacts(now time.Time) []Member {
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
		heartbeat := slices.Contains(watched, name) && p.sinceLastContact(now) >= interval
		if heartbeat || v.pushDue(name, p) {
			p.recordAttempt(now, v.attemptResetAfter())
			due = append(due, memberOf(v.router(name)))
		}
	}
	if leaving, ok := v.nextLeavingProbe(now); ok {
		due = append(due, leaving)
	}
	if forgotten, ok := v.nextForgottenProbe(now); ok {
		due = append(due, forgotten)
	}
	return due
}

// watched returns the members that the router contacts regularly: all others in a full mesh,
// else its successors on the rings. A leaving router is on no ring; it contacts a few reachable
// members that it selects by rendezvous hashing.
func (v *View) watched(now time.Time) []string {
	others := slices.DeleteFunc(slices.Clone(v.rings.names), func(name string) bool {
		return name == v.self.Name
	})
	if v.fullMesh() {
		return others
	}
	if v.isLeaving(v.self.Name, v.self.Incarnation) {
		reachable := slices.DeleteFunc(others, func(name string) bool { return v.down[name] })
		return rendezvous.Rank(v.self.Name, reachable, v.opts.Rings)
	}
	return v.rings.watched(v.self.Name, v.down, v.answeredSince(now))
}

// answeredSince returns a function that reports whether a router answered within SuspectAfter.
func (v *View) answeredSince(now time.Time) func(name string) bool {
	return func(name string) bool {
		p := v.peers[name]
		return p != nil && p.answered(now, v.opts.SuspectAfter)
	}
}

// neighbours returns the watched members and the members that watch the router.
func (v *View) neighbours(watched []string) []string {
	watchers := v.rings.watchers(v.self.Name, v.down)
	return sortedUnique(slices.Concat(watched, watchers))
}

// probeIntervalFor returns the interval of probes, which grows with the number of silent
// members, so that a router that is cut off from the fleet makes few attempts a second.
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

// pushDue reports whether a reachable neighbour lacks a change or the newest list.
func (v *View) pushDue(name string, p *peer) bool {
	if v.down[name] || p.lastAnswer.IsZero() {
		return false
	}
	return p.listRevision < v.list.Revision || len(v.log.unacknowledged(p.ackedSeq, name)) > 0
}

// StateFor returns the message for a router, as a request or as an answer. It contains the
// leaving marks, silence reports, unlisted routers, configuration version and instance list
// that the receiver has not acknowledged. The caller may add suspects and counters.
func (v *View) StateFor(receiver string) *v1.PeerState {
	p := &peer{}
	if known, ok := v.peers[receiver]; ok {
		p = known
	}
	acked := p.ackedSeq
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
		Ack:            p.mergedSeq,
	}
	if acked == 0 {
		state.Self = v.self
		state.Zone = v.self.Zone
	}
	if p.listRevision < v.list.Revision && v.listRevisionKnown(p) {
		state.ListAsOfUnixMs = v.list.AsOfUnixMs
		state.ListPublishedUnixMs = v.list.PublishedUnixMs
		v.writeList(state, p.listRevision)
	}
	for _, c := range v.log.unacknowledged(acked, receiver) {
		v.writeChange(state, c)
	}
	return state
}

// listRevisionKnown reports whether the router has reported its list revision. Before that,
// no list is sent, since the router may have the same one.
func (v *View) listRevisionKnown(p *peer) bool {
	return !p.lastAnswer.IsZero()
}

// writeChange adds the current content of a changed item to a message.
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

// MergeResult says what a message changed in the view.
type MergeResult struct {
	// Ignored is set if the message was not merged: it came from the router itself, from another
	// incarnation than the known one, or from an unknown router that did not describe itself.
	Ignored bool
	// List is set if a newer instance list came into force.
	List bool
	// Leaving is set if leaving marks were added.
	Leaving bool
	// Config is the version of the configuration that the sender has in force.
	Config ConfigVersion
}

// Merge merges a message of another router, a request or an answer, into the view. The message
// counts as contact with its sender.
func (v *View) Merge(now time.Time, state *v1.PeerState) MergeResult {
	if state.Router == v.self.Name {
		return MergeResult{Ignored: true}
	}
	v.addSender(now, state.Self)
	if !v.fromKnownIncarnation(state) {
		return MergeResult{Ignored: true}
	}
	marks := v.marksAdded
	var merged MergeResult
	p := v.peer(state.Router)
	p.recordAnswer(now)
	p.ackedSeq = state.Ack
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

// fromKnownIncarnation reports whether a message comes from the known incarnation of its
// sender. If the sender has a higher one, its contact state is dropped, so that the exchange
// starts anew and the sender describes itself.
func (v *View) fromKnownIncarnation(state *v1.PeerState) bool {
	known := v.router(state.Router)
	if known == nil {
		return false
	}
	if state.Incarnation > known.Incarnation {
		delete(v.peers, state.Router)
	}
	return state.Incarnation == known.Incarnation
}

// mergeLeaving merges the leaving marks of a message, each of which says that an incarnation of
// an instance is leaving. A sender that is stopping is leaving too.
func (v *View) mergeLeaving(now time.Time, state *v1.PeerState) {
	if state.Stopping {
		v.markLeaving(now, state.Router, state.Incarnation, "")
	}
	for _, m := range state.Leaving {
		v.markLeaving(now, m.Instance, m.Incarnation, state.Router)
	}
}

// acknowledge records that the changes of a message were merged, unless changes before them are
// missing.
func (v *View) acknowledge(state *v1.PeerState) {
	p := v.peer(state.Router)
	if state.DeltaFrom <= p.mergedSeq {
		p.mergedSeq = max(p.mergedSeq, state.Seq)
	}
}

// mergeConfig returns the sender's configuration version. A message carries the digest only
// until it is acknowledged, so the last known digest holds while the revision is the same.
func (p *peer) mergeConfig(state *v1.PeerState) ConfigVersion {
	if len(state.ConfigDigest) > 0 || state.ConfigRevision != p.config.Revision {
		p.config = ConfigVersion{Revision: state.ConfigRevision, Digest: string(state.ConfigDigest)}
	}
	return p.config
}

// PeerConfig returns the configuration version that a router last reported. It returns false
// before its first message.
func (v *View) PeerConfig(name string) (ConfigVersion, bool) {
	p, ok := v.peers[name]
	if !ok || p.lastAnswer.IsZero() {
		return ConfigVersion{}, false
	}
	return p.config, true
}
