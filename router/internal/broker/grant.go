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

// Done gives the slot back with the final cost in cost units.
func (g *Grant) Done(cost uint32, outcome v1.Outcome, service time.Duration) {
	g.broker.post(doneInput{seq: g.seq, done: &v1.Done{
		Seq:       g.seq,
		Cost:      cost,
		Outcome:   outcome,
		ServiceMs: uint32(service.Milliseconds()),
	}})
}
