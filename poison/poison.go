// Package poison finds out which requests crash the targets that run them, so that they are refused.
//
// Two kinds of request are found. A request that comes again unchanged is known by its digest: it is
// refused once LossLimit targets were lost with it in flight. A part of a prompt may crash each target
// that begins to answer it, in requests that are otherwise all different. When a target is lost, each
// part of the prompts in flight there is a candidate. Two facts tell the cause from the parts that
// shared a target or a prompt with it:
//
//   - A part is innocent if a target has begun to answer a request with it since the loss, and went
//     on (Proven).
//   - A loss is explained if one of the requests in flight was found to be a cause, and then says
//     nothing about the others.
//
// What is refused is not a part but a signature: all parts that the lost requests of the best
// candidate have in common and that are not proven. Requests with a popular part therefore pass
// unless they have the other parts too, and once they are answered the signature shrinks to the
// cause. A signature that explains too much, or a cause that was mended, is found by a probe: one
// request with the signature is let through after a time that doubles with each loss.
//
// Losses and proofs are exchanged between routers in load reports; each router judges for itself.
//
// The package starts no goroutine and uses no clock or random source. A Tracker is not safe for
// concurrent use.
package poison

import (
	"slices"
	"time"
)

const (
	// LossLimit is the number of targets that must be lost with a request in flight before the same
	// request is refused.
	LossLimit = 2
	// requestLimit is the number of different requests with a part that must be lost, and of targets
	// that must be lost with them, before the part can be a cause. resendLimit is the number of
	// requests from which one more is not sent to a second target.
	requestLimit = 4
	resendLimit  = 2
	// minSpan is the least time between the first and the last of these losses: targets that are lost
	// at the same moment may have a common cause other than a request. It is minUnprovenSpan for a part
	// that was not proven lately, in which routers notice the losses of one moment.
	minSpan         = 500 * time.Millisecond
	minUnprovenSpan = 150 * time.Millisecond
	// settleTime is the age from which a loss is judged. The reports of all routers on a lost target
	// have arrived by then.
	settleTime = 300 * time.Millisecond
	// proofTime is the time within which a part that targets can answer is proven. A part that was
	// proven lately can be a cause only if it was not proven for that long after its first loss.
	proofTime = 2 * time.Second
	// proofLifetime is how long a proof is remembered.
	proofLifetime = time.Minute
	// lossLifetime is how long a loss is remembered, and requestLifetime how long it counts against
	// the same request: callers repeat that within some seconds.
	lossLifetime    = 5 * time.Minute
	requestLifetime = time.Minute
	// minProbeDelay is the time from the last loss with a signature to the first probe, and
	// earlyProbeDelay that of a signature whose parts were answered lately, or may have been, as far as
	// a router knows that has just started and has seen all its losses: it is more often a mistake.
	minProbeDelay   = 20 * time.Second
	earlyProbeDelay = 3 * time.Second
	// maxLosses and maxProofs bound the requests and parts that are remembered.
	maxLosses = 4096
	maxProofs = 16384
	// expiryInterval is the least time between two removals of old entries.
	expiryInterval = time.Second
	// observationTime is the time after the start of a router from which it knows the parts that
	// targets answer.
	observationTime = 10 * time.Second
)

// Loss says that targets were lost with a request in flight.
type Loss struct {
	// Request is a digest of the request that stays the same if its caller repeats it.
	Request uint64
	// Parts identifies the parts of its prompt other than the last one, which no other request has.
	// It is empty if the targets did not crash, or had answered the request for long enough to prove
	// the parts; the losses then count against the request only.
	Parts []uint64
	// Begun is set if a target had begun to answer the request.
	Begun bool
	// Targets holds a hash for each start of a target.
	Targets []uint32
}

// Tracker holds what one router knows of losses and proofs.
type Tracker struct {
	// started is when the router began to see proofs.
	started time.Time
	// losses holds the lost requests by digest.
	losses map[uint64]*lostRequest
	// proofs holds the proven parts.
	proofs map[uint64]*proof
	// lossesDue and proofsDue hold the lost requests and the proven parts that reports must still
	// include, with the number of reports.
	lossesDue, proofsDue map[uint64]int
	// lostWith is the number of lost requests with each part.
	lostWith map[uint64]int
	// signatures holds the causes that explain the losses, and explained the targets that were lost
	// with a request that has one of them.
	signatures []*signature
	explained  map[uint32]bool
	// changed is set if a loss or a proof has come since the last judgement.
	changed bool
	// lastLoss is when a target was lost last.
	lastLoss time.Time
	// judged is when the losses were last judged, and expired when old entries were last removed.
	judged, expired time.Time
}

// lostRequest is a request with which targets were lost.
type lostRequest struct {
	parts []uint64
	begun bool
	// targets holds when each target was lost, as far as this router knows.
	targets map[uint32]time.Time
	last    time.Time
}

// proof says that targets can answer a part.
type proof struct {
	at time.Time
	// reportedAt is when the proof was last due for a report.
	reportedAt time.Time
}

// signature is a set of parts that crashes targets if a prompt has all of them.
type signature struct {
	parts []uint64
	// probeAt is when the next probe is due, probeDelay the time from a loss to a probe. probing is
	// set after this router has sent a probe, until a target is lost.
	probeAt    time.Time
	probeDelay time.Duration
	probing    bool
}

// explainedBy reports whether a prompt has a signature.
func (t *Tracker) explainedBy(parts []uint64) bool {
	return slices.ContainsFunc(t.signatures, func(s *signature) bool { return s.matches(parts) })
}

// New returns a Tracker that knows of no loss.
func New(now time.Time) *Tracker {
	return &Tracker{
		started: now, losses: make(map[uint64]*lostRequest), proofs: make(map[uint64]*proof), lostWith: make(map[uint64]int),
		lossesDue: make(map[uint64]int), proofsDue: make(map[uint64]int), explained: make(map[uint32]bool),
	}
}

// Lost records a loss that this router has seen.
func (t *Tracker) Lost(now time.Time, l Loss) {
	t.recordLoss(now, l)
	t.lossesDue[l.Request] = lossReports
}

func (t *Tracker) recordLoss(now time.Time, l Loss) {
	known := t.lostRequest(now, l)
	known.begun = known.begun || l.Begun
	for _, target := range l.Targets {
		if _, ok := known.targets[target]; ok {
			continue
		}
		known.targets[target] = now
		known.last = now
		t.changed = true
		if now.After(t.lastLoss) {
			t.lastLoss = now
		}
		if t.explainedBy(known.parts) {
			t.explained[target] = true
		}
		t.postponeProbes(now, known.parts)
	}
}

// lostRequest returns the entry of a lost request, a new one if it is not known. At the limit, the
// new entry replaces the oldest one.
func (t *Tracker) lostRequest(now time.Time, l Loss) *lostRequest {
	known, ok := t.losses[l.Request]
	if !ok {
		if len(t.losses) >= maxLosses {
			t.expire(now)
		}
		if len(t.losses) >= maxLosses {
			t.forgetOldest()
		}
		known = &lostRequest{targets: make(map[uint32]time.Time)}
		t.losses[l.Request] = known
	}
	if len(known.parts) == 0 {
		known.parts = slices.Clone(l.Parts)
		for _, part := range known.parts {
			t.lostWith[part]++
			t.reportProof(now, part)
		}
	}
	return known
}

// forget removes the entry of a lost request.
func (t *Tracker) forget(digest uint64) {
	l, ok := t.losses[digest]
	if !ok {
		return
	}
	delete(t.losses, digest)
	delete(t.lossesDue, digest)
	t.changed = true
	for _, part := range l.parts {
		t.lostWith[part]--
		if t.lostWith[part] == 0 {
			delete(t.lostWith, part)
		}
	}
}

func (t *Tracker) forgetOldest() {
	var oldest uint64
	var last time.Time
	for digest, l := range t.losses {
		if last.IsZero() || l.last.Before(last) {
			oldest, last = digest, l.last
		}
	}
	t.forget(oldest)
}

// postponeProbes postpones the probes of the signatures of a request with which a target was lost.
func (t *Tracker) postponeProbes(now time.Time, parts []uint64) {
	for _, s := range t.signatures {
		if !s.matches(parts) {
			continue
		}
		if s.probing {
			s.probing = false
			s.probeDelay = 2 * max(s.probeDelay, minProbeDelay)
		}
		s.probeAt = now.Add(s.probeDelay)
	}
}

// Proven records that a target has answered a request with these parts, in full or for longer than
// a part that crashes targets allows. The proof is of the time at which the answer began: a part may
// begin to crash targets while earlier answers still go on.
func (t *Tracker) Proven(now, begun time.Time, request uint64, parts []uint64) {
	t.forget(request)
	for _, part := range parts {
		t.prove(begun, part)
		t.reportProof(now, part)
	}
}

// prove records that targets could answer a part at a time.
func (t *Tracker) prove(at time.Time, part uint64) {
	p, ok := t.proofs[part]
	if !ok {
		if len(t.proofs) >= maxProofs {
			t.expire(at)
		}
		if len(t.proofs) >= maxProofs {
			return
		}
		p = &proof{}
		t.proofs[part] = p
	}
	if t.lostWith[part] > 0 && !p.at.After(t.lastLoss) {
		t.changed = true
	}
	if at.After(p.at) {
		p.at = at
	}
}

// reportProof has the proof of a part reported if there is one and a request with the part was lost.
func (t *Tracker) reportProof(now time.Time, part uint64) {
	p, proven := t.proofs[part]
	if proven && t.lostWith[part] > 0 && now.Sub(p.reportedAt) >= proofReportInterval && now.Sub(p.at) < proofLifetime {
		p.reportedAt = now
		t.proofsDue[part] = proofReports
	}
}

// PromptRefused reports whether a prompt has a signature, so that the request must be refused.
// mayProbe reports whether this router is the one of the fleet that sends the probes of the signature
// with the given key; it is asked only when a probe is due, and the request is the probe then.
func (t *Tracker) PromptRefused(now time.Time, parts []uint64, mayProbe func(key uint64) bool) bool {
	t.judge(now)
	for _, s := range t.signatures {
		if !s.matches(parts) {
			continue
		}
		if now.Before(s.probeAt) || !mayProbe(s.parts[0]) {
			return true
		}
		s.probing = true
		s.probeAt = now.Add(s.probeDelay)
	}
	return false
}

// RequestRefused reports whether a request must be refused since too many targets were lost with it.
func (t *Tracker) RequestRefused(now time.Time, request uint64) bool {
	l, ok := t.losses[request]
	return ok && now.Sub(l.last) < requestLifetime && t.unexplained(l) >= LossLimit
}

// MayResend reports whether a request with which a target was lost may be sent to another one.
func (t *Tracker) MayResend(now time.Time, request uint64, parts []uint64) bool {
	if t.RequestRefused(now, request) || t.PromptRefused(now, parts, func(uint64) bool { return false }) {
		return false
	}
	return !t.observing(now) || !slices.ContainsFunc(parts, t.mayCrash)
}

// mayCrash reports whether a part was never proven and several requests with it were lost.
func (t *Tracker) mayCrash(part uint64) bool {
	if _, proven := t.proofs[part]; proven || t.lostWith[part] < resendLimit {
		return false
	}
	lost := 0
	for _, l := range t.losses {
		if slices.Contains(l.parts, part) && t.unexplained(l) > 0 {
			lost++
		}
	}
	return lost >= resendLimit
}

// observing reports whether the router has seen proofs for long enough to tell parts that were never
// proven.
func (t *Tracker) observing(now time.Time) bool { return now.Sub(t.started) >= observationTime }

// Signatures returns the parts of each signature, for logs and metrics.
func (t *Tracker) Signatures() [][]uint64 {
	out := make([][]uint64, 0, len(t.signatures))
	for _, s := range t.signatures {
		out = append(out, slices.Clone(s.parts))
	}
	return out
}

// expire removes old losses and proofs, at most once per expiryInterval.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expired) < expiryInterval {
		return
	}
	t.expired = now
	for digest, l := range t.losses {
		if now.Sub(l.last) >= lossLifetime {
			t.forget(digest)
		}
	}
	for part, p := range t.proofs {
		if now.Sub(p.at) >= proofLifetime {
			delete(t.proofs, part)
		}
	}
}

// matches reports whether a prompt has all parts of the signature.
func (s *signature) matches(parts []uint64) bool {
	for _, part := range s.parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
