package deal

import (
	"time"

	"github.com/chiveseam/chiveseam/pool"
)

// Dealer divides the slots of a pool between the holders of its shards.
//
// A Dealer is not safe for concurrent use. It starts no goroutine and reads no
// clock.
type Dealer struct {
	self    pool.Router
	options Options
	actions []Allotment
}

// NewDealer returns a dealer without targets on the incarnation self. Its
// first step starts the time in which it learns what the holders have.
func NewDealer(self pool.Router, o Options) *Dealer {
	return &Dealer{self: self, options: o.withDefaults()}
}

// Step lets time pass to now, takes in the event and returns the allotments to
// send. The returned slice is valid until the next call.
func (d *Dealer) Step(now time.Time, event DealerEvent) []Allotment {
	return d.actions
}
