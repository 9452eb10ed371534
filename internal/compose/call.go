package compose

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/quarantine"
	"github.com/chiveseam/chiveseam/requestkey"
)

// Operation is what a caller wants done. It may be sent many times.
type Operation struct {
	Number     int
	Workspace  string
	Key        string
	Idempotent bool
	// CrashesTargets makes each target crash that runs it.
	CrashesTargets bool

	// reportedLosses are the times at which the loss of a target was told to callers.
	reportedLosses []time.Time
	// firstSent is the time of the first call.
	firstSent time.Time
	// lostTargets are the targets that it took down, in order.
	lostTargets []string
	// informedLosses counts targets lost by attempts of routers that had to
	// know of an earlier loss.
	informedLosses int
}

func (op *Operation) keyID() requestkey.ID {
	return requestkey.ID{Workspace: op.Workspace, Key: op.Key}
}

func (op *Operation) keyDigest() requestkey.Digest { return requestkey.Digest(op.Number) }

func (op *Operation) contentDigest() quarantine.Digest { return quarantine.Digest(op.Number) }

// Result is the final answer of a call. A call whose connection broke has no
// code.
type Result struct {
	Code v1.Code
	Ran  v1.Ran
	Body string
}

// Call is one sending of an operation to a router.
type Call struct {
	sim *Simulation
	// number is the order of arrival.
	number int
	op     *Operation
	entry  *Router
	sentAt time.Time
	// Result is nil until the call has ended.
	Result *Result
	// onEnd is called when the call has ended; it may be nil.
	onEnd func()
	// received is set once the router has the request.
	received bool
	// toldNotRun is set once a router decided that it did not run.
	toldNotRun bool
}

// IssueKey returns a new key of a router, or an empty one if it is not ready.
func (r *Router) IssueKey() string {
	if !r.alive || r.paused || !r.ready() {
		return ""
	}
	var random [requestkey.RandomBytes]byte
	binary.BigEndian.PutUint64(random[:], r.sim.rng.Uint64())
	return r.ledger.Issue(r.now(), random)
}

// UUIDv7Key returns a caller-chosen key that proves its age.
func (sim *Simulation) UUIDv7Key() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(sim.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], sim.rng.Uint64())
	const version, variant = 0x70, 0x80
	id[6] |= version
	id[8] = variant
	return id.String()
}

// OpaqueKey returns a caller-chosen key without proof of its age.
func (sim *Simulation) OpaqueKey() string { return fmt.Sprintf("order-%x", sim.rng.Uint64()) }

// Send sends an operation through a router.
func (sim *Simulation) Send(op *Operation, r *Router) { sim.SendThen(op, r, nil) }

// SendThen is Send for a caller that does something after the final answer.
func (sim *Simulation) SendThen(op *Operation, r *Router, onEnd func()) {
	call := &Call{sim: sim, number: len(sim.calls), op: op, entry: r, sentAt: sim.now, onEnd: onEnd}
	sim.calls = append(sim.calls, call)
	if op.firstSent.IsZero() {
		op.firstSent = sim.now
	}
	sim.Stats.Calls++
	r.open[call] = true
	if !r.alive {
		call.finish(Result{Ran: v1.Ran_UNKNOWN})
		return
	}
	sim.after(r, 0, func() { r.receiveCall(call) })
}

// receiveCall takes a caller's request.
func (r *Router) receiveCall(call *Call) {
	call.received = true
	refused := Result{Ran: v1.Ran_NO}
	if call.op.Key != "" {
		refused.Ran = v1.Ran_UNKNOWN
	}
	startBy := r.now().Add(startLimit)
	req := &request{r: r, call: call, startBy: startBy, endBy: startBy.Add(totalTimeout - startLimit), reply: call.finish}
	switch {
	case !r.ready():
		refused.Code = v1.Code_NOT_READY
		call.finish(refused)
	case r.refusesCalls:
		refused.Code = v1.Code_STOPPING
		call.finish(refused)
	default:
		r.execute(req)
	}
}

// finish gives the caller its final answer.
func (c *Call) finish(result Result) {
	if c.Result != nil {
		c.sim.fail("call of operation %d got %v after %v", c.op.Number, result, *c.Result)
		return
	}
	c.Result = &result
	delete(c.entry.open, c)
	if result.Code == v1.Code_OK {
		c.sim.Stats.Served++
	}
	c.sim.checkAnswer(c)
	if c.onEnd != nil {
		c.sim.after(nil, 0, c.onEnd)
	}
}
