package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Grant is the right to use one slot of a target for one attempt.
type Grant struct {
	broker *Broker
	seq    uint64
	// Target is the ID of the target.
	Target config.ID
	// Prediction is what the scheduler charges without a report. Its estimate is
	// zero if the slot was handed out ahead.
	Prediction pool.Prediction
}

// Progress reports the cost so far in cost units.
func (g *Grant) Progress(cost uint32) {
	g.broker.post(progressInput{seq: g.seq, cost: cost})
}

// FirstByte tells that the answer has begun.
func (g *Grant) FirstByte() {
	g.broker.post(firstByteInput{seq: g.seq})
}

// End is how the use of a slot ended.
type End struct {
	// Cost is the final cost in cost units.
	Cost    uint32
	Outcome v1.Outcome
	// Service is the time at the target.
	Service time.Duration
	// Unresolved is how long the target may still execute the request.
	Unresolved time.Duration
}

// Done gives the slot back.
func (g *Grant) Done(end End) {
	g.broker.post(doneInput{seq: g.seq, done: &v1.Done{
		Seq:          g.seq,
		Cost:         end.Cost,
		Outcome:      end.Outcome,
		ServiceMs:    uint32(end.Service.Milliseconds()),
		UnresolvedMs: uint32(end.Unresolved.Milliseconds()),
	}})
}
