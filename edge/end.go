package edge

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// endEvidence says what is known of the process that has ended an answer with neither a length nor chunks: the end of a
// process closes its connections like the end of an answer.
type endEvidence string

const (
	// evidenceRefused: nothing listens at the address of the target.
	evidenceRefused endEvidence = "refused"
	// evidenceOtherStart: the process at the address states another start than the registered one.
	evidenceOtherStart endEvidence = "other_start"
	// evidenceAddressTaken: the address is registered for another target, or for a later start of it.
	evidenceAddressTaken endEvidence = "address_taken"
	// evidenceSameStart: the process at the address states the registered start.
	evidenceSameStart endEvidence = "same_start"
	// evidenceAccepted: something accepts connections at the address.
	evidenceAccepted endEvidence = "accepted"
	// evidenceNone: nothing was found out in time.
	evidenceNone endEvidence = "none"
)

// processEnded reports whether the process has ended.
func (v endEvidence) processEnded() bool {
	return v == evidenceRefused || v == evidenceOtherStart || v == evidenceAddressTaken
}

// closeTime is the time in which a process that ends closes its connections and its listener, in any order.
const closeTime = 20 * time.Millisecond

// endedUnplanned reports whether the target of the attempt, which has ended, was not to leave: one that leaves may
// close its listener before it ends its answers.
func (a *attempt) endedUnplanned() bool {
	e := a.call.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	t, registered := e.directory.targets[a.target.ID]
	return registered && !t.Draining
}

// findEnd sets end to what is known, after closeTime, of the process that has just closed the connection.
func (a *attempt) findEnd() {
	e := a.call.edge
	time.Sleep(closeTime)
	a.end = e.endEvidence(a.target)
	e.metrics.unframedEnds.WithLabelValues(string(a.end)).Inc()
}

// endEvidence finds out whether the process of a target that has just closed a connection has ended.
func (e *Edge) endEvidence(t routing.Target) endEvidence {
	if e.refusesConnections(t.Address) {
		return evidenceRefused
	}
	if evidence := e.startEvidence(t); evidence.processEnded() || !e.isAddressTaken(t) {
		return evidence
	}
	return evidenceAddressTaken
}

// isAddressTaken reports whether the address of a target is registered for another one, or for a later start of it.
func (e *Edge) isAddressTaken(t routing.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.directory.targets {
		if other.Address == t.Address && (other.ID != t.ID || other.StartedUnixMs != t.StartedUnixMs) {
			return true
		}
	}
	return false
}

// startEvidence asks the process at the address of a target for its start.
func (e *Edge) startEvidence(t routing.Target) endEvidence {
	if !e.asksForStart(t) {
		return evidenceAccepted
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	u, err := e.targetConns.get(ctx, t.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return evidenceRefused
	case err != nil:
		return evidenceNone
	}
	h := e.answerMemory.open(t.ID, func() {}) // the time for the answer is short
	defer h.close()
	err = e.checkProcess(u, t, h)
	switch {
	case errors.Is(err, errOtherProcess):
		u.Close()
		return evidenceOtherStart
	case err != nil:
		u.Close()
		return evidenceNone
	}
	e.targetConns.putNew(u)
	if u.started == 0 {
		return evidenceAccepted
	}
	return evidenceSameStart
}
