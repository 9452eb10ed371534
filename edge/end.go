package edge

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/routing"
)

// endEvidence says what is known of the process that has closed the connection of an answer with neither a length nor
// chunks: the end of a process closes its connections like the end of an answer.
type endEvidence string

const (
	// evidenceWitness: other connections to the process are open.
	evidenceWitness endEvidence = "witness"
	// evidenceSameStart: the process at the address states the registered start.
	evidenceSameStart endEvidence = "same_start"
	// evidenceAnswered: the target answers a status check, and no other connection to it has ended.
	evidenceAnswered endEvidence = "answered"

	// evidenceRefused: nothing listens at the address of the target.
	evidenceRefused endEvidence = "refused"
	// evidenceOtherStart: the process at the address states another start than the registered one.
	evidenceOtherStart endEvidence = "other_start"
	// evidenceOtherTarget: the process at the address says that it is another target.
	evidenceOtherTarget endEvidence = "other_target"
	// evidenceAddressTaken: the address is registered for another target, or for a later start of it.
	evidenceAddressTaken endEvidence = "address_taken"
	// evidenceWitnessEnded: the other connections to the process have ended, too.
	evidenceWitnessEnded endEvidence = "witness_ended"

	// evidenceNone: nothing was found out in time.
	evidenceNone endEvidence = "none"
)

// processLives reports whether the process goes on, so that it has ended the answer and not the answer with it.
func (v endEvidence) processLives() bool {
	return v == evidenceWitness || v == evidenceSameStart || v == evidenceAnswered
}

// processEnded reports whether the process has ended.
func (v endEvidence) processEnded() bool { return !v.processLives() && v != evidenceNone }

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
	// statusCheckTimeout limits the time of a status check, which may wait for the requests that run.
	statusCheckTimeout = 500 * time.Millisecond
)

// endedUnplanned reports whether the target of the attempt, which has ended, was not to leave: one that leaves may
// close its listener before it ends its answers.
func (a *attempt) endedUnplanned() bool {
	e := a.call.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	t, registered := e.directory.targets[a.target.ID]
	return registered && !t.Draining
}

// watchEnd begins to watch the process that writes an answer with neither a length nor chunks on u.
func (a *attempt) watchEnd(u *upstream) {
	w := a.call.edge.witnesses
	w.noteUnframed(a.target.Service)
	w.attach(u, a.sentAt).see(u)
}

// confirmEnd returns nil if the process that has ended an answer on u by closing the connection is known to go on. Otherwise
// the answer may be incomplete: the error is errTargetEnded or errEndUnconfirmed.
func (a *attempt) confirmEnd(u *upstream) error {
	e := a.call.edge
	time.Sleep(closeTime)
	a.end = e.endEvidence(a.target, u)
	e.metrics.unframedEnds.WithLabelValues(string(a.end)).Inc()
	switch {
	case a.end.processLives():
		return nil
	case a.end.processEnded():
		return errTargetEnded
	}
	return errEndUnconfirmed
}

// endEvidence finds out whether the process of a target goes on, which has closed u. What the process states of itself
// decides before what its connections show: their ends may be late.
func (e *Edge) endEvidence(t routing.Target, u *upstream) endEvidence {
	if e.isAddressTaken(t) {
		return evidenceAddressTaken
	}
	testimony := e.witnesses.testimonyOn(u)
	if testimony == testimonyOpen && !e.asksForStart(t) {
		return evidenceWitness
	}
	evidence := e.askProcess(t)
	if evidence != evidenceAnswered && evidence != evidenceNone {
		return evidence
	}
	switch testimony {
	case testimonyOpen:
		return evidenceWitness
	case testimonyEnded:
		return evidenceWitnessEnded
	}
	return evidence
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

// askProcess asks the process at the address of a target for its start, or for its status if it states no start.
func (e *Edge) askProcess(t routing.Target) endEvidence {
	h := e.answerMemory.open(t.ID, func() {}) // the time for the answer is short
	defer h.close()
	ask := e.askStatus
	if e.asksForStart(t) {
		ask = e.askStart
	}
	evidence, err := ask(t, h)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return evidenceRefused
	case err != nil:
		return evidenceNone
	}
	return evidence
}

// askStart asks the process for its start.
func (e *Edge) askStart(t routing.Target, h *hold) (endEvidence, error) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	u, err := e.targetConns.get(ctx, t.Address)
	if err != nil {
		return "", err
	}
	err = e.checkProcess(u, t, h)
	switch {
	case errors.Is(err, errOtherProcess):
		u.Close()
		return evidenceOtherStart, nil
	case err != nil:
		u.Close()
		return "", err
	}
	e.targetConns.putNew(u)
	if u.started == 0 {
		return evidenceAnswered, nil
	}
	return evidenceSameStart, nil
}

// askStatus checks the status of the target on a new connection. Whatever it answers shows that it goes on.
func (e *Edge) askStatus(t routing.Target, h *hold) (endEvidence, error) {
	path := e.statusPath(t)
	if path == "" {
		return evidenceNone, nil
	}
	deadline := time.Now().Add(statusCheckTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	u, err := e.targetConns.dial(ctx, t.Address)
	if err != nil {
		return "", err
	}
	defer u.Close()
	u.SetDeadline(deadline)
	header := h1.Header{{Name: "Host", Value: t.Address}, {Name: e.headers.TargetID, Value: t.ID}}
	if _, err := u.Write(h1.AppendRequestHead(nil, http.MethodGet, path, header, 0)); err != nil {
		return "", err
	}
	u.beginHead(h, deadline)
	resp, err := h1.ReadResponse(u.br, http.MethodGet, maxAnswerHeadBytes)
	if err != nil {
		return "", err
	}
	id, stated := resp.Header.Lookup(e.headers.InstanceID)
	if stated && id != t.ID || resp.Status == http.StatusMisdirectedRequest {
		return evidenceOtherTarget, nil
	}
	return evidenceAnswered, nil
}

// statusPath returns the path of the status check of a target; "" if the configuration states none.
func (e *Edge) statusPath(t routing.Target) string {
	table := e.table.Load()
	if table == nil {
		return ""
	}
	return table.Services[t.Service].StatusPath
}
