package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Grant is the right to use one slot of a target for one attempt.
type Grant struct {
	broker *Broker
	seq    uint64
	// Target is the ID of the target.
	Target config.ID
	// Estimate is the cost in cost units that the scheduler has charged; zero
	// means that the slot was handed out ahead and the charge is not known.
	Estimate uint32
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
