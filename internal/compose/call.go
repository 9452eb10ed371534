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
	// Poison makes each target crash that runs it.
	Poison bool

	// losses are the times at which the loss of a target was told to callers.
	losses []time.Time
	// firstSent is the time of the first call.
	firstSent time.Time
	// lost are the targets that it took down, in order.
	lost []string
	// informedLosses counts targets lost by attempts of routers that had to
	// know of an earlier loss.
	informedLosses int
}

func (op *Operation) id() requestkey.ID {
	return requestkey.ID{Workspace: op.Workspace, Key: op.Key}
}

func (op *Operation) keyDigest() requestkey.Digest { return requestkey.Digest(op.Number) }

func (op *Operation) digest() quarantine.Digest { return quarantine.Digest(op.Number) }

// Final is the final answer of a call. A call whose connection broke has no
// code.
type Final struct {
	Code v1.Code
	Ran  v1.Ran
	Body string
}

// Call is one sending of an operation to a router.
type Call struct {
	w *World
	// number is the order of arrival.
	number int
	op     *Operation
	entry  *Router
	sent   time.Time
	// Final is nil until the call has ended.
	Final *Final
	// then is called when the call has ended; it may be nil.
	then func()
	// taken is set once the router has the request.
	taken bool
	// toldNo is set once a router decided that it did not run.
	toldNo bool
}

// Issue returns a new key of a router, or an empty one if it is not ready.
func (r *Router) Issue() string {
	if !r.alive || r.paused || !r.ready() {
		return ""
	}
	var random [requestkey.RandomBytes]byte
	binary.BigEndian.PutUint64(random[:], r.w.rng.Uint64())
	return r.ledger.Issue(r.now(), random)
}

// YoungKey returns a caller-chosen key that proves its age.
func (w *World) YoungKey() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(w.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], w.rng.Uint64())
	const version, variant = 0x70, 0x80
	id[6] |= version
	id[8] = variant
	return id.String()
}

// ChosenKey returns a caller-chosen key without proof of its age.
func (w *World) ChosenKey() string { return fmt.Sprintf("order-%x", w.rng.Uint64()) }

// Send sends an operation through a router.
func (w *World) Send(op *Operation, r *Router) { w.SendThen(op, r, nil) }

// SendThen is Send for a caller that does something after the final answer.
func (w *World) SendThen(op *Operation, r *Router, then func()) {
	call := &Call{w: w, number: len(w.calls), op: op, entry: r, sent: w.now, then: then}
	w.calls = append(w.calls, call)
	if op.firstSent.IsZero() {
		op.firstSent = w.now
	}
	w.Stats.Calls++
	r.open[call] = true
	if !r.alive {
		call.end(Final{Ran: v1.Ran_UNKNOWN})
		return
	}
	w.after(r, 0, func() { r.enter(call) })
}

// enter takes a caller's request.
func (r *Router) enter(call *Call) {
	call.taken = true
	refused := Final{Ran: v1.Ran_NO}
	if call.op.Key != "" {
		refused.Ran = v1.Ran_UNKNOWN
	}
	startBy := r.now().Add(startTime)
	x := &execution{r: r, call: call, startBy: startBy, endBy: startBy.Add(totalTime - startTime), reply: call.end}
	switch {
	case !r.ready():
		refused.Code = v1.Code_NOT_READY
		call.end(refused)
	case r.refusing:
		refused.Code = v1.Code_STOPPING
		call.end(refused)
	default:
		r.execute(x)
	}
}

// end gives the caller its final answer.
func (c *Call) end(f Final) {
	if c.Final != nil {
		c.w.fail("call of operation %d got %v after %v", c.op.Number, f, *c.Final)
		return
	}
	c.Final = &f
	delete(c.entry.open, c)
	if f.Code == v1.Code_OK {
		c.w.Stats.Served++
	}
	c.w.checkAnswer(c)
	if c.then != nil {
		c.w.after(nil, 0, c.then)
	}
}
