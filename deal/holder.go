package deal

import (
	"time"

	"github.com/chiveseam/chiveseam/pool"
)

// Holder keeps the allotment of a shard for its scheduler.
//
// A Holder is not safe for concurrent use. It starts no goroutine and reads no
// clock.
type Holder struct {
	self    pool.Router
	shard   int
	options Options
	actions []HolderAction
}

// NewHolder returns the holder of a shard on the incarnation self. It holds
// nothing: the scheduler gets pool.SlotsAllotted without slots before its
// targets. Step returns SlotsChanged as soon as that changes.
func NewHolder(self pool.Router, shard int, o Options) *Holder {
	return &Holder{self: self, shard: shard, options: o.withDefaults()}
}

// Step lets time pass to now, takes in the event and returns what follows. The
// returned slice is valid until the next call. A Report goes to its Dealer.
func (h *Holder) Step(now time.Time, event HolderEvent) []HolderAction {
	return h.actions
}

// Retire returns the last report of a holder that gives its role up. Its
// scheduler must grant nothing more, and its requests in flight are taken over
// by the next holder.
func (h *Holder) Retire(now time.Time) (Report, bool) {
	return Report{}, false
}
