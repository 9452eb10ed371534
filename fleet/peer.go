package fleet

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// peer is the state of a view's contacts with one other router.
type peer struct {
	// lastAnswer is the time of the last message from the router; zero before the first.
	lastAnswer time.Time
	// firstAttempt is the time of the first attempt to contact the router after lastAnswer; zero
	// if there was none. After a pause of attemptResetAfter, the next attempt counts as the first.
	firstAttempt time.Time
	lastAttempt  time.Time
	// upSince is the time at which the router last became reachable after it had been silent;
	// zero if it never was silent.
	upSince time.Time

	// ackedSeq is the highest sequence number of the view's own changes that the router has
	// merged.
	ackedSeq uint64
	// mergedSeq is the highest sequence number of the router's changes that the view has
	// merged.
	mergedSeq    uint64
	listRevision uint64
	config       ConfigVersion
}

// answered reports whether the last answer came less than within ago.
func (p *peer) answered(now time.Time, within time.Duration) bool {
	return !p.lastAnswer.IsZero() && now.Sub(p.lastAnswer) < within
}

// unanswered reports whether all attempts to contact the router have failed for at least
// minDuration. A series of attempts does not count if the last one is older than resetAfter.
func (p *peer) unanswered(now time.Time, minDuration, resetAfter time.Duration) bool {
	if p.firstAttempt.IsZero() || now.Sub(p.lastAttempt) > resetAfter {
		return false
	}
	return now.Sub(p.firstAttempt) >= minDuration
}

// sinceLastContact returns the time since the last answer or attempt, whichever is later.
func (p *peer) sinceLastContact(now time.Time) time.Duration {
	if p.lastAttempt.After(p.lastAnswer) {
		return now.Sub(p.lastAttempt)
	}
	return now.Sub(p.lastAnswer)
}

func (p *peer) recordAnswer(now time.Time) {
	p.lastAnswer = now
	p.firstAttempt = time.Time{}
}

// recordAttempt records an attempt. It starts a new series if the last attempt is older than
// resetAfter.
func (p *peer) recordAttempt(now time.Time, resetAfter time.Duration) {
	if p.firstAttempt.IsZero() || now.Sub(p.lastAttempt) > resetAfter {
		p.firstAttempt = now
	}
	p.lastAttempt = now
}

// attemptResetAfter returns the pause after which a new series of unanswered attempts starts.
// It is longer than the interval of probes, so that a series continues from probe to probe.
func (v *View) attemptResetAfter() time.Duration {
	return 2 * max(v.opts.SuspectAfter, v.probeInterval)
}

// peer returns the contact state of a router and creates it if needed.
func (v *View) peer(name string) *peer {
	p, ok := v.peers[name]
	if !ok {
		p = &peer{}
		v.peers[name] = p
	}
	return p
}

// resetPeer drops the contact state of a router that has a higher incarnation now.
func (v *View) resetPeer(instance *v1.Instance) {
	delete(v.peers, instance.Name)
	delete(v.down, instance.Name)
}

// RecordContact records the result of a contact other than an exchange of PeerState, for
// instance a heartbeat of a scheduling stream. It ignores routers that the view does not know.
func (v *View) RecordContact(now time.Time, name string, ok bool) {
	if name == v.self.Name || v.router(name) == nil {
		return
	}
	if ok {
		v.peer(name).recordAnswer(now)
		return
	}
	v.peer(name).recordAttempt(now, v.attemptResetAfter())
}
