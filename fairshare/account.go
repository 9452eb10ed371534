package fairshare

import (
	"container/list"

	"github.com/chiveseam/chiveseam/config"
)

const (
	// Scale is the number of counter units in one cost unit at share 1.
	Scale = 1024

	// maxCost is the largest cost of one request in cost units.
	maxCost = 1 << 40

	// meanWeight is the reciprocal weight of a new cost in the moving mean.
	meanWeight = 8

	// meanScale is the number of steps of the moving mean in one cost unit.
	meanScale = 256
)

// account is the state of one workspace.
type account struct {
	id         config.ID
	share      int64
	configured bool
	group      *group

	// value is the counter without foreign, in 1/Scale cost units.
	value uint64
	// rest is the remainder of the divisions by share; 0 <= rest < share.
	rest int64
	// foreign is the service received in other regions.
	foreign uint64
	// served is the net charge in cost units, without lifts.
	served int64
	// mean is the moving mean of costs in 1/meanScale cost units; zero is none.
	mean int64
	// lifts counts the lifts that raised the counter.
	lifts    uint32
	inFlight int

	backlogged bool
	// pos is the index in the group's heap while backlogged.
	pos int
	// idle is the element of the list of idle unconfigured accounts.
	idle *list.Element
}

// key orders accounts: total service over the share.
func (a *account) key() uint64 {
	return a.value + a.foreign
}

// add charges cost, which is negative for a refund.
func (a *account) add(cost int64) {
	a.served += cost
	scaled := cost*Scale + a.rest
	quotient := scaled / a.share
	a.rest = scaled % a.share
	if a.rest < 0 {
		a.rest += a.share
		quotient--
	}
	if quotient < 0 && uint64(-quotient) > a.value {
		a.value = 0
		return
	}
	a.value += uint64(quotient)
}

// raise lifts the key to at least level.
func (a *account) raise(level uint64) {
	if a.key() >= level {
		return
	}
	a.value = level - a.foreign
	a.rest = 0
	a.lifts++
}

// limit lowers the key to at most level.
func (a *account) limit(level uint64) {
	if a.key() <= level {
		return
	}
	a.foreign = min(a.foreign, level)
	a.value = level - a.foreign
	a.rest = 0
}

// observe adds the cost of a finished request to the moving mean.
func (a *account) observe(cost int64) {
	scaled := cost * meanScale
	if a.mean == 0 {
		a.mean = max(scaled, 1)
		return
	}
	a.mean = max(a.mean+(scaled-a.mean)/meanWeight, 1)
}

func (a *account) servedOverShare() uint64 {
	return uint64(max(a.served, 0)) * Scale / uint64(a.share)
}

func clampCost(cost int64) int64 {
	return min(max(cost, 0), maxCost)
}
