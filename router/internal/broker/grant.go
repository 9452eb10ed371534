package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Grant is the right to use one slot of a target for one attempt. Its methods are
// called by the dispatcher and do nothing once the broker is stopping.
type Grant struct {
	broker *Broker
	seq    uint64
	// Target is the ID of the target.
	Target config.ID
	// Prediction is the cost that the scheduler charges over time without a progress
	// report. Its estimate is zero for a spare slot.
	Prediction pool.Prediction
}

// ReportProgress reports to the scheduler the cost so far in cost units.
func (g *Grant) ReportProgress(cost uint32) {
	g.broker.post(progressInput{seq: g.seq, cost: cost})
}

// ReportFirstByte reports that the target's answer has begun.
func (g *Grant) ReportFirstByte() {
	g.broker.post(firstByteInput{seq: g.seq})
}

// Completion describes the finished use of a slot.
type Completion struct {
	// Cost is the final cost in cost units.
	Cost    uint32
	Outcome v1.Outcome
	// Service is the time that the attempt spent at the target.
	Service time.Duration
	// Unresolved is how long the target may still execute the request although the
	// attempt was given up.
	Unresolved time.Duration
}

// Done returns the slot. It must be called exactly once.
func (g *Grant) Done(c Completion) {
	g.broker.post(doneInput{seq: g.seq, done: &v1.Done{
		Seq:          g.seq,
		Cost:         c.Cost,
		Outcome:      c.Outcome,
		ServiceMs:    uint32(c.Service.Milliseconds()),
		UnresolvedMs: uint32(c.Unresolved.Milliseconds()),
	}})
}
