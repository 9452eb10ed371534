package fleet

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// peer is what a view remembers about its contacts with one router.
type peer struct {
	// lastAnswer is the time of the last message from the router.
	lastAnswer time.Time
	// firstAttempt is the first attempt since lastAnswer, or zero.
	firstAttempt time.Time
	lastAttempt  time.Time
	// upSince is the time at which the router was reachable again after
	// silence; zero if it was never silent.
	upSince time.Time

	// acked is the newest of our changes that the router has merged.
	acked uint64
	// merged is the newest of its changes that we have merged.
	merged       uint64
	listRevision uint64
	config       ConfigVersion
}

func (p *peer) answered(now time.Time, within time.Duration) bool {
	return !p.lastAnswer.IsZero() && now.Sub(p.lastAnswer) < within
}

// unanswered returns whether attempts have failed for the time after. A series
// whose last attempt is older than memory says nothing any more.
func (p *peer) unanswered(now time.Time, after, memory time.Duration) bool {
	if p.firstAttempt.IsZero() || now.Sub(p.lastAttempt) > memory {
		return false
	}
	return now.Sub(p.firstAttempt) >= after
}

// quietFor returns the time since the last answer or attempt.
func (p *peer) quietFor(now time.Time) time.Duration {
	if p.lastAttempt.After(p.lastAnswer) {
		return now.Sub(p.lastAttempt)
	}
	return now.Sub(p.lastAnswer)
}

func (p *peer) answer(now time.Time) {
	p.lastAnswer = now
	p.firstAttempt = time.Time{}
}

func (p *peer) attempt(now time.Time, memory time.Duration) {
	if p.firstAttempt.IsZero() || now.Sub(p.lastAttempt) > memory {
		p.firstAttempt = now
	}
	p.lastAttempt = now
}

// attemptMemory is the pause after which a series of unanswered attempts
// starts anew. It spans several probes.
func (v *View) attemptMemory() time.Duration {
	return 2 * max(v.opts.SuspectAfter, v.probeInterval)
}

func (v *View) peer(name string) *peer {
	p, ok := v.peers[name]
	if !ok {
		p = &peer{}
		v.peers[name] = p
	}
	return p
}

// resetPeer starts anew with a router whose incarnation grew.
func (v *View) resetPeer(instance *v1.Instance) {
	delete(v.peers, instance.Name)
	delete(v.down, instance.Name)
}

// Contact records the result of a contact with a router that was not an
// exchange of PeerState, for instance a heartbeat of a scheduling stream.
func (v *View) Contact(now time.Time, name string, ok bool) {
	if name == v.self.Name || v.router(name) == nil {
		return
	}
	if ok {
		v.peer(name).answer(now)
		return
	}
	v.peer(name).attempt(now, v.attemptMemory())
}
