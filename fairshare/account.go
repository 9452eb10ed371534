package fairshare

import (
	"container/list"

	"github.com/chiveseam/chiveseam/config"
)

const (
	// Scale is the number of counter units for one cost unit at share 1.
	Scale = 1024

	// maxCost is the largest cost of one request in cost units. Greater costs count as
	// maxCost.
	maxCost = 1 << 40

	// meanCostDivisor is the reciprocal of the weight that a new cost has in the moving
	// mean.
	meanCostDivisor = 8

	// meanCostScale is the number of units of account.meanCost for one cost unit.
	meanCostScale = 256
)

// account is the state of one workspace. Its counter is the sum of localCounter and
// remoteCounter, both in 1/Scale cost units at share 1.
type account struct {
	id    config.ID
	share int64
	// configured is set between Configure and Remove.
	configured bool
	group      *group

	// localCounter is the cost charged in this region divided by the share, plus what lifts
	// have added.
	localCounter uint64
	// remainder is the remainder of the divisions by share; 0 <= remainder < share.
	remainder int64
	// remoteCounter is the cost charged in other regions divided by the share.
	remoteCounter uint64
	// chargedCost is the sum of charges less refunds in cost units, without lifts. It
	// includes refunds that the counter drops because of a lift.
	chargedCost int64
	// meanCost is the moving mean of costs in 1/meanCostScale cost units; 0 if there was
	// none.
	meanCost int64
	// lifts counts the times that raiseTo raised the counter. Counters.end uses it to find
	// out whether the workspace was lifted during a request.
	lifts uint32
	// inFlight is the number of charges that have not ended.
	inFlight int

	// backlogged is set while the workspace has waiting requests and group.heap holds the
	// account, except for the accounts that Next takes out for the time of its search.
	backlogged bool
	// heapIndex is the index in group.heap while the account is there.
	heapIndex int
	// idleElement is the element of Counters.idleAccounts, or nil if the account is not
	// in it.
	idleElement *list.Element
}

// counter returns the counter by which accounts are ordered.
func (a *account) counter() uint64 {
	return a.localCounter + a.remoteCounter
}

// add charges cost, which is negative for a refund. The counter does not fall below the
// service in other regions. Callers restore the order of the heap.
func (a *account) add(cost int64) {
	a.chargedCost += cost
	scaled := cost*Scale + a.remainder
	quotient := scaled / a.share
	a.remainder = scaled % a.share
	if a.remainder < 0 {
		a.remainder += a.share
		quotient--
	}
	if quotient < 0 && uint64(-quotient) > a.localCounter {
		a.localCounter = 0
		return
	}
	a.localCounter += uint64(quotient)
}

// raiseTo raises the counter to level if it is lower.
func (a *account) raiseTo(level uint64) {
	if a.counter() >= level {
		return
	}
	a.localCounter = level - a.remoteCounter
	a.remainder = 0
	a.lifts++
}

// capAt lowers the counter to level if it is higher: first localCounter, then
// remoteCounter.
func (a *account) capAt(level uint64) {
	if a.counter() <= level {
		return
	}
	a.remoteCounter = min(a.remoteCounter, level)
	a.localCounter = level - a.remoteCounter
	a.remainder = 0
}

// updateMeanCost adds the cost of a finished request to the moving mean, which starts as
// the first cost.
func (a *account) updateMeanCost(cost int64) {
	scaled := cost * meanCostScale
	if a.meanCost == 0 {
		a.meanCost = max(scaled, 1)
		return
	}
	a.meanCost = max(a.meanCost+(scaled-a.meanCost)/meanCostDivisor, 1)
}

// chargedPerShare returns the charged cost divided by the share, in 1/Scale cost units.
func (a *account) chargedPerShare() uint64 {
	return uint64(max(a.chargedCost, 0)) * Scale / uint64(a.share)
}

func clampCost(cost int64) int64 {
	return min(max(cost, 0), maxCost)
}
