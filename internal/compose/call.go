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

// Operation is a request of a caller. It may be sent many times.
type Operation struct {
	// Number is unique and stands for the content of the request.
	Number     int
	Workspace  string
	Key        string
	Idempotent bool
	// CrashesTargets makes each target that runs the operation crash.
	CrashesTargets bool

	// reportedLosses holds the times at which the loss of a target was reported to callers.
	reportedLosses []time.Time
	// firstSent is the time of the first call.
	firstSent time.Time
	// lostTargets holds the names of the targets that crashed on the operation, in order.
	lostTargets []string
	// informedLosses is the number of targets that crashed on attempts of routers that
	// must have known of an earlier loss.
	informedLosses int
}

// keyID returns the identity of the request for the ledger.
func (op *Operation) keyID() requestkey.ID {
	return requestkey.ID{Workspace: op.Workspace, Key: op.Key}
}

// keyDigest returns the digest of the request for the ledger.
func (op *Operation) keyDigest() requestkey.Digest { return requestkey.Digest(op.Number) }

// contentDigest returns the digest of the request for the quarantine tracker.
func (op *Operation) contentDigest() quarantine.Digest { return quarantine.Digest(op.Number) }

// Result is the final answer of a call or the end of an attempt. The Code of a call whose
// connection broke is CODE_UNSPECIFIED. Body is set only if the request was served or its
// answer was replayed.
type Result struct {
	Code v1.Code
	Ran  v1.Ran
	Body string
}

// Call is one request of a caller to a router, for an operation.
type Call struct {
	sim *Simulation
	// number is the index of the call in the order of sending.
	number int
	op     *Operation
	entry  *Router
	sentAt time.Time
	// Result is nil until the call has ended.
	Result *Result
	// onEnd, if not nil, is called when the call has ended.
	onEnd func()
	// received is set once the router has received the request.
	received bool
	// toldNotRun is set once a router has ended the request with Ran NO.
	toldNotRun bool
}

// IssueKey returns a new issued key of a router, or an empty string if the router is paused,
// has ended or is not ready.
func (r *Router) IssueKey() string {
	if !r.alive || r.paused || !r.ready() {
		return ""
	}
	var random [requestkey.RandomBytes]byte
	binary.BigEndian.PutUint64(random[:], r.sim.rng.Uint64())
	return r.ledger.Issue(r.now(), random)
}

// UUIDv7Key returns a caller-chosen key whose timestamp proves its age.
func (sim *Simulation) UUIDv7Key() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(sim.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], sim.rng.Uint64())
	const version, variant = 0x70, 0x80
	id[6] |= version
	id[8] = variant
	return id.String()
}

// OpaqueKey returns a caller-chosen key that does not prove its age.
func (sim *Simulation) OpaqueKey() string { return fmt.Sprintf("order-%x", sim.rng.Uint64()) }

// Send sends an operation to a router.
func (sim *Simulation) Send(op *Operation, r *Router) { sim.SendThen(op, r, nil) }

// SendThen sends an operation to a router and calls onEnd, if not nil, after the final
// answer.
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

// receiveCall executes a caller's request, or refuses it if the router is not ready or is
// stopping. Ran of the refusal is UNKNOWN for a request with a key, because an earlier
// request with the key may have run.
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

// finish gives the caller its final answer. It reports a violation if the call already has
// one.
func (c *Call) finish(result Result) {
	if c.Result != nil {
		c.sim.fail("call of operation %d ended twice: %v after %v", c.op.Number, result, *c.Result)
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
