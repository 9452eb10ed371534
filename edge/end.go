package edge

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/routing"
)

// endEvidence says what is known of the process that has closed the connection of an answer with neither a length nor
// chunks: the end of a process closes its connections like the end of an answer.
type endEvidence string

const (
	// evidenceWitness: another connection to the process is open.
	evidenceWitness endEvidence = "witness"
	// evidenceSameStart: the process at the address states the registered start.
	evidenceSameStart endEvidence = "same_start"
	// evidenceCapped: the target resets new connections, so it has as many as it takes, unlike the next process at its address.
	evidenceCapped endEvidence = "capped"
	// evidenceAnswered: a plain target answers a status check, and there was no other connection that could have ended.
	evidenceAnswered endEvidence = "answered"

	// evidenceRefused: nothing listens at the address of the target.
	evidenceRefused endEvidence = "refused"
	// evidenceOtherStart: the process at the address states another start than the registered one.
	evidenceOtherStart endEvidence = "other_start"
	// evidenceOtherTarget: the process at the address says that it is another target.
	evidenceOtherTarget endEvidence = "other_target"
	// evidenceAddressTaken: the address is registered for another target, or for a later start of it.
	evidenceAddressTaken endEvidence = "address_taken"
	// evidenceWitnessEnded: the other connection to the process has ended, too.
	evidenceWitnessEnded endEvidence = "witness_ended"

	// evidenceReset: the target has reset the connection.
	evidenceReset endEvidence = "reset"
	// evidenceUntaken: the target did not take the whole request.
	evidenceUntaken endEvidence = "untaken"

	// evidenceNone: nothing was found out in time.
	evidenceNone endEvidence = "none"
)

// processLives reports whether the process goes on, so that it has ended the answer and not the answer with it.
func (v endEvidence) processLives() bool {
	return v == evidenceWitness || v == evidenceSameStart || v == evidenceCapped || v == evidenceAnswered
}

// processEnded reports whether the process has ended.
func (v endEvidence) processEnded() bool {
	return !v.processLives() && v != evidenceReset && v != evidenceUntaken && v != evidenceNone
}

var (
	// errTargetEnded: nothing but the end of the connection ends the answer, and the process of the target has
	// ended too.
	errTargetEnded = errors.New("target ended with its answer")
	// errEndUnconfirmed: nothing but the end of the connection ends the answer, and nothing shows that the process of the
	// target goes on.
	errEndUnconfirmed = errors.New("end of the answer unconfirmed")
)

const (
	// closeTime is the time in which a process that ends closes its connections and its listener, in any order.
	closeTime = 20 * time.Millisecond
	// lateEndTime is the time after which the end of a connection has come though its packet was lost once.
	lateEndTime = 250 * time.Millisecond
	// statusCheckShare is the fraction of the time until the request's deadline for which the router waits for a status
	// check, which may wait for the requests that run.
	statusCheckShare = 0.5
)

// processCrashed reports whether the process of the target is known to have ended, and was not to leave: one that leaves
// may close its listener before it ends its answers.
func (a *attempt) processCrashed() bool { return a.end.processEnded() && !a.call.edge.leaves(a.target) }

// leaves reports whether a target is registered as draining, or no longer registered.
func (e *Edge) leaves(t routing.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, registered := e.directory.targets[t.ID]
	return !registered || t.Draining
}

// watchEnd begins to watch the process that writes an answer with neither a length nor chunks on u.
func (a *attempt) watchEnd(u *upstream) {
	w := a.call.edge.witnesses
	w.noteUnframed(a.target.Service)
	w.attach(u, a.sentAt)
	if u.witness != nil {
		u.witness.see(u)
	}
}

// confirmEnd returns nil if the target has taken the whole request, and the process that has ended an answer on u by closing the
// connection is known to go on, and has not reset it. Otherwise the answer may be incomplete: the error is errTargetEnded or
// errEndUnconfirmed, or says what became of the connection. The target has until deadline to take the request.
func (a *attempt) confirmEnd(u *upstream, deadline time.Time) error {
	e := a.call.edge
	u.endedAt = time.Now()
	err := a.awaitTaken(u, deadline)
	if err != nil {
		a.end = evidenceUntaken
	} else {
		time.Sleep(closeTime)
		err = a.findEvidence(u)
	}
	e.metrics.unframedEnds.WithLabelValues(string(a.end)).Inc()
	return err
}

// findEvidence sets end, and returns the error of confirmEnd.
func (a *attempt) findEvidence(u *upstream) error {
	e := a.call.edge
	if e.asksForStart(a.target) {
		a.end = e.engineEvidence(a.target, u)
	} else {
		a.end = e.plainEvidence(a.target, u, time.Duration(statusCheckShare*float64(time.Until(a.call.deadline))))
	}
	switch {
	case a.end.processLives():
		err := u.resetError()
		if err != nil {
			a.end = evidenceReset
		}
		return err
	case a.end.processEnded():
		return errTargetEnded
	}
	return errEndUnconfirmed
}

// takenInterval is the time between two looks at what a target has not taken of a request.
const takenInterval = 5 * time.Millisecond

// awaitTaken waits, after the end of an answer on u, until the target's machine has acknowledged the whole request: a target may
// end its side of the connection and read on. If it has ended the whole connection, what comes after that resets it.
func (a *attempt) awaitTaken(u *upstream, deadline time.Time) error {
	for {
		taken, err := a.requestTaken(u)
		if taken || err != nil {
			return err
		}
		if !time.Now().Before(deadline) {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(takenInterval)
	}
}

// requestTaken reports whether the target's machine has acknowledged the whole request. The error says why it never will.
func (a *attempt) requestTaken(u *upstream) (bool, error) {
	if err := u.resetError(); err != nil {
		return false, err
	}
	select {
	case <-a.upload.done:
	default:
		return false, nil
	}
	if a.upload.err != nil {
		return false, a.upload.err
	}
	unacked, err := u.unacknowledged()
	return unacked == 0, err
}

// engineEvidence finds out whether the process of a model engine goes on that has closed u. Its start decides before
// the witness, the end of which may be late.
func (e *Edge) engineEvidence(t routing.Target, u *upstream) endEvidence {
	if e.isAddressTaken(t) {
		return evidenceAddressTaken
	}
	if evidence := e.askStart(t, u); evidence != evidenceNone {
		return evidence
	}
	return e.lateWitness(u)
}

// plainEvidence finds out whether the process of a target that states no start goes on, which has closed u. If nothing else
// shows it, the target has the time wait to answer a status check.
func (e *Edge) plainEvidence(t routing.Target, u *upstream, wait time.Duration) endEvidence {
	state := e.witnesses.state(u)
	if state == witnessEnded {
		return evidenceWitnessEnded
	}
	if e.isAddressTaken(t) && (state != witnessOpen || e.isAddressOfOther(t)) {
		return evidenceAddressTaken
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	next, err := e.targetConns.dial(ctx, t.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) && (state != witnessOpen || !e.leaves(t)):
		return evidenceRefused
	case err != nil:
		return e.lateWitness(u)
	case state == witnessOpen:
		e.targetConns.putNew(next)
		return evidenceWitness
	}
	defer next.Close()
	if state == witnessDisputed {
		return e.lateWitness(u)
	}
	return e.askStatus(t, next, wait)
}

// lateWitness returns what the witness shows of a process that does not answer.
func (e *Edge) lateWitness(u *upstream) endEvidence {
	if state := e.witnesses.state(u); state == witnessOpen || state == witnessDisputed {
		time.Sleep(time.Until(u.endedAt.Add(lateEndTime)))
	}
	switch e.witnesses.state(u) {
	case witnessOpen, witnessDisputed:
		return evidenceWitness
	case witnessEnded:
		return evidenceWitnessEnded
	}
	return evidenceNone
}

// isAddressTaken reports whether the address of a target is registered for another one that started no earlier, or for a later
// start of it.
func (e *Edge) isAddressTaken(t routing.Target) bool {
	return e.isAddressOfOther(t) || e.isReplaced(t)
}

// isAddressOfOther reports whether the address of a target is registered for another one that started no earlier.
func (e *Edge) isAddressOfOther(t routing.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.directory.targets {
		if other.Address == t.Address && other.ID != t.ID && (other.StartedUnixMs == 0 || other.StartedUnixMs >= t.StartedUnixMs) {
			return true
		}
	}
	return false
}

// isReplaced reports whether another start of a target is registered.
func (e *Edge) isReplaced(t routing.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, registered := e.directory.targets[t.ID]
	return registered && now.StartedUnixMs != t.StartedUnixMs
}

// askStart asks the process at the address of a model engine for its start, on an idle connection, or on a new one if that
// has ended. The answer to an earlier question does not count.
func (e *Edge) askStart(t routing.Target, ended *upstream) endEvidence {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	u, err := e.targetConns.get(ctx, t.Address, anyConnection)
	kept, stated := err == nil && u.reused, false
	if err == nil {
		stated, err = e.askStartOn(u, t)
	}
	if err != nil && kept && !errors.Is(err, errOtherProcess) && !isTimeout(err) {
		if u, err = e.targetConns.dial(ctx, t.Address); err == nil {
			stated, err = e.askStartOn(u, t)
		}
	}
	switch {
	case stated:
		return evidenceSameStart
	case err == nil:
		return evidenceNone
	}
	evidence := noAnswer(err)
	if evidence == evidenceCapped && e.witnesses.state(ended) == witnessEnded {
		return evidenceNone
	}
	return evidence
}

// askStartOn is checkProcess on a connection that it pools or closes, also if that has been asked before. stated is set if
// the process states the registered start.
func (e *Edge) askStartOn(u *upstream, t routing.Target) (stated bool, err error) {
	h := e.answerMemory.open(t.ID, func() {}) // the time for the answer is short
	defer h.close()
	u.startAsked = false
	if err := e.checkProcess(u, t, h); err != nil {
		u.Close()
		return false, err
	}
	stated = u.started != 0
	e.targetConns.putNew(u)
	return stated, nil
}

// askStatus checks the status of a plain target on a new connection, for as long as wait. Whatever it answers shows that a
// process with its ID goes on.
func (e *Edge) askStatus(t routing.Target, u *upstream, wait time.Duration) endEvidence {
	path := e.statusPath(t)
	if path == "" {
		return evidenceNone
	}
	h := e.answerMemory.open(t.ID, func() {}) // the head is bounded
	defer h.close()
	deadline := time.Now().Add(wait)
	u.SetDeadline(deadline)
	header := h1.Header{{Name: "Host", Value: t.Address}, {Name: e.headers.TargetID, Value: t.ID}}
	if _, err := u.Write(h1.AppendRequestHead(nil, http.MethodGet, path, header, 0)); err != nil {
		return noAnswer(err)
	}
	u.beginHead(h, deadline)
	resp, err := h1.ReadResponse(u.br, http.MethodGet, maxAnswerHeadBytes)
	if err != nil {
		return noAnswer(err)
	}
	id, stated := resp.Header.Lookup(e.headers.InstanceID)
	if stated && id != t.ID || resp.Status == http.StatusMisdirectedRequest {
		return evidenceOtherTarget
	}
	return evidenceAnswered
}

// noAnswer returns what a question on a new connection shows that was not answered.
func noAnswer(err error) endEvidence {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return evidenceRefused
	case errors.Is(err, errOtherProcess):
		return evidenceOtherStart
	case errors.Is(err, syscall.ECONNRESET):
		return evidenceCapped
	}
	return evidenceNone
}

// statusPath returns the path of the status check of a target; "" if the configuration states none.
func (e *Edge) statusPath(t routing.Target) string {
	table := e.table.Load()
	if table == nil {
		return ""
	}
	return table.Services[t.Service].StatusPath
}
