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
	// evidenceShutdown: the process shut down, but not at the time at which it closed the connection.
	evidenceShutdown endEvidence = "shutdown"

	// evidenceRefused: nothing listens at the address of the target.
	evidenceRefused endEvidence = "refused"
	// evidenceOtherStart: the process at the address states another start than the registered one.
	evidenceOtherStart endEvidence = "other_start"
	// evidenceOtherTarget: the process at the address says that it is another target.
	evidenceOtherTarget endEvidence = "other_target"
	// evidenceAddressTaken: the address is registered for another target that started later, or for another start of it.
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
	switch v {
	case evidenceWitness, evidenceSameStart, evidenceCapped, evidenceAnswered, evidenceShutdown:
		return true
	}
	return false
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

// leaves reports whether a target is registered as draining or no longer registered, or has said that it leaves.
func (e *Edge) leaves(t routing.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, registered := e.directory.targets[t.ID]
	return !registered || now.Draining || e.balancer.Leaves(t)
}

func (a *attempt) targetLeaves() bool { return a.call.edge.leaves(a.target) }

// watchEnd begins to watch the process that writes an answer with neither a length nor chunks on u.
func (a *attempt) watchEnd(u *upstream) {
	w := a.call.edge.witnesses
	w.noteUnframed(a.target.Service)
	w.attach(u, a.sentAt, a.targetLeaves)
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
		time.Sleep(overlap)
		u.outlivedByWitness = e.witnesses.state(u) == witnessOpen
		time.Sleep(closeTime - overlap)
		err = a.findEvidence(u)
	}
	e.metrics.unframedEnds.WithLabelValues(string(a.end)).Inc()
	return err
}

// findEvidence sets end, and returns the error of confirmEnd.
func (a *attempt) findEvidence(u *upstream) error {
	a.end = a.call.edge.evidence(a.target, u, time.Duration(statusCheckShare*float64(time.Until(a.call.deadline))))
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

// evidence finds out whether the process of a target goes on that has closed u. What ends with a process ends at one time,
// within closeTime or, if a packet is lost, lateEndTime. So a witness that has ended or a listener that is closed shows the end
// of the process only if they were there until the answer ended; a sound target closes connections as idle at any time, and
// connections and its listener some time before it ends its last answers.
//
//   - A model engine states its start, which decides.
//   - The process closed its listener, and the answer went on; or the target leaves, closed connections, and either the answer went on
//     or they were still open after its end. A process that shuts down ends what it has begun.
//   - Nothing listens at the address: the process has ended, unless it leaves and another connection to it is open.
//   - The witness has ended with the answer: the process has ended. It is open: the process goes on. The end of the witness may be late,
//     so that this is asked after lateEndTime where no process takes a connection.
//   - The address belongs to another process by the registrations: the process has ended, unless the witness is open after
//     lateEndTime.
//   - A plain target, of which nothing else is known, has the time wait to answer a status check.
func (e *Edge) evidence(t routing.Target, u *upstream, wait time.Duration) endEvidence {
	next, found := e.contact(t, u)
	state, leaves := e.witnesses.state(u), e.leaves(t)
	connections, listener := e.witnesses.outlived(u)
	connections = leaves && (connections || u.outlivedByWitness)
	switch {
	case found == evidenceSameStart, found == evidenceOtherStart, found == evidenceCapped:
		return found
	case next == nil && (listener || connections), next != nil && connections && state == witnessEnded:
		return evidenceShutdown
	case found == evidenceRefused && (state != witnessOpen && state != witnessDisputed || !leaves):
		return evidenceRefused
	case next != nil && state == witnessOpen && !e.isAddressTaken(t):
		e.targetConns.putNew(next)
		return evidenceWitness
	}
	if next != nil {
		defer next.Close()
	}
	switch {
	case state == witnessOpen, state == witnessDisputed:
		return e.lateWitness(u)
	case state == witnessEnded:
		return evidenceWitnessEnded
	case e.isAddressTaken(t):
		return evidenceAddressTaken
	case next == nil:
		return evidenceNone
	}
	return e.askStatus(t, next, wait)
}

// contact asks a model engine for its start, and connects to a plain target. It returns the new connection to a plain target; nil
// if there is none, and then what that shows.
func (e *Edge) contact(t routing.Target, u *upstream) (*upstream, endEvidence) {
	if e.asksForStart(t) {
		return nil, e.askStart(t, u)
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	next, err := e.targetConns.dial(ctx, t.Address)
	switch {
	case err == nil:
		return next, evidenceNone
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, evidenceRefused
	}
	return nil, evidenceNone
}

// lateWitness returns what a witness that is open shows once its end would have come, even late.
func (e *Edge) lateWitness(u *upstream) endEvidence {
	time.Sleep(time.Until(u.endedAt.Add(lateEndTime)))
	switch e.witnesses.state(u) {
	case witnessOpen, witnessDisputed:
		return evidenceWitness
	case witnessEnded:
		return evidenceWitnessEnded
	}
	return evidenceNone
}

// isAddressTaken reports whether the address of a target is registered for another one that started no earlier, or for another
// start of it.
func (e *Edge) isAddressTaken(t routing.Target) bool {
	return e.isAddressOfOther(t) || e.isReplaced(t)
}

// isAddressOfOther reports whether the address of a target is registered for another one that started no earlier. Of registrations that
// state no start it is not known which one is out of date.
func (e *Edge) isAddressOfOther(t routing.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.directory.targets {
		if other.Address == t.Address && other.ID != t.ID && other.StartedUnixMs >= t.StartedUnixMs && t.StartedUnixMs > 0 {
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
