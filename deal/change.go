package deal

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	// scarceNeedDivisor: while slots are scarce, a change of the need is reported early if it
	// is at least 1/scarceNeedDivisor of the held slots.
	scarceNeedDivisor = 32
	// ampleNeedDivisor is used in place of scarceNeedDivisor while slots are not scarce.
	ampleNeedDivisor = 4
	// shareChangeDivisor: a change of the sum of the shares of workspaces that use or need slots
	// is reported early if it is at least 1/shareChangeDivisor of the larger sum.
	shareChangeDivisor = 8
	// releasedSlotsDivisor: released slots are reported early if they are at least
	// 1/releasedSlotsDivisor of the held slots.
	releasedSlotsDivisor = 128
)

// significantChange reports whether the usage has changed so much since the last report that
// the dealer must know of it before the next renewal.
func (h *Holder) significantChange() bool {
	holdings := h.holdings()
	held := sumHoldings(holdings)
	if releasedSlots(h.reported.Holdings, holdings) >= max(held/releasedSlotsDivisor, 1) {
		return true
	}
	now, then := sumBacklogs(h.usage.Backlogs), sumBacklogs(h.reported.Backlogs)
	if now.share != then.share && absDiff(now.share, then.share)*shareChangeDivisor >= max(now.share, then.share) {
		return true
	}
	return h.significantNeedChange(now.need, then.need, held)
}

// significantNeedChange compares the need now with the need at the last report (then). held
// is the number of held slots.
func (h *Holder) significantNeedChange(now, then, held int) bool {
	if now > held {
		return then <= held || 2*then < now
	}
	divisor := ampleNeedDivisor
	if h.scarce {
		divisor = scarceNeedDivisor
	}
	return absDiff(now, then) >= max(held/divisor, 1)
}

// releasedSlots counts the slots that were held or in use before and no longer are.
func releasedSlots(before, after []Holding) int {
	left := map[config.ID]int{}
	for _, held := range after {
		left[held.Target] = max(held.Slots, held.Busy)
	}
	sum := 0
	for _, held := range before {
		sum += max(held.Slots, held.Busy) - min(max(held.Slots, held.Busy), left[held.Target])
	}
	return sum
}

// sumHoldings returns the number of held slots of all targets.
func sumHoldings(holdings []Holding) int {
	sum := 0
	for _, held := range holdings {
		sum += held.Slots
	}
	return sum
}

// backlogTotals are the shares and the needs of all data centres, summed up.
type backlogTotals struct{ share, need int }

func sumBacklogs(backlogs []pool.Backlog) backlogTotals {
	var t backlogTotals
	for _, b := range backlogs {
		t.share += int(b.Share + b.ActiveShare)
		t.need += b.Need + b.Active
	}
	return t
}

func absDiff(a, b int) int { return max(a-b, b-a) }

// sentTimes holds the times at which the reports that may still be answered were sent.
type sentTimes []sentTime

type sentTime struct {
	seq uint64
	at  time.Time
}

// add appends a report that is sent now and deletes those that are at least age old.
func (s sentTimes) add(seq uint64, now time.Time, age time.Duration) sentTimes {
	first := 0
	for first < len(s) && now.Sub(s[first].at) >= age {
		first++
	}
	return append(s[first:], sentTime{seq, now})
}

// timeOf returns the time at which the report with the number seq was sent.
func (s sentTimes) timeOf(seq uint64) (time.Time, bool) {
	for _, sent := range s {
		if sent.seq == seq {
			return sent.at, true
		}
	}
	return time.Time{}, false
}
