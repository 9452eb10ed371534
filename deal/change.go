package deal

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	// scarceParts is the part of the held slots, as a divisor, by which the
	// need must change to be told while slots are scarce.
	scarceParts = 32
	// amplyParts is the same while they are not.
	amplyParts = 4
	// shareParts is the part of the shares with demands, as a divisor, by which
	// they must change to be told.
	shareParts = 8
	// releaseParts is the part of the held slots, as a divisor, that must have
	// been given up to be told.
	releaseParts = 128
)

// changed tells whether the dealer has to know of what changed since the last
// report before the next renewal.
func (h *Holder) changed() bool {
	holdings := h.holdings()
	held := sumHeld(holdings)
	if released(h.reported.Holdings, holdings) >= max(held/releaseParts, 1) {
		return true
	}
	now, then := totals(h.usage.Backlogs), totals(h.reported.Backlogs)
	if now.share != then.share && distance(now.share, then.share)*shareParts >= max(now.share, then.share) {
		return true
	}
	return h.needChanged(now.need, then.need, held)
}

// needChanged compares the need now and then with the slots that are held.
func (h *Holder) needChanged(now, then, held int) bool {
	if now > held {
		return then <= held || 2*then < now
	}
	parts := amplyParts
	if h.scarce {
		parts = scarceParts
	}
	return distance(now, then) >= max(held/parts, 1)
}

// released counts the slots that were held or in use and are no longer.
func released(before, after []Holding) int {
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

func sumHeld(holdings []Holding) int {
	sum := 0
	for _, held := range holdings {
		sum += held.Slots
	}
	return sum
}

// total is a sum of backlogs.
type total struct{ share, need int }

func totals(backlogs []pool.Backlog) total {
	var t total
	for _, b := range backlogs {
		t.share += int(b.Share + b.ActiveShare)
		t.need += b.Need + b.Active
	}
	return t
}

func distance(a, b int) int { return max(a-b, b-a) }

// sentTimes holds when the reports that may still be answered were sent.
type sentTimes []sentTime

type sentTime struct {
	seq uint64
	at  time.Time
}

// add notes a report and forgets those older than age.
func (s sentTimes) add(seq uint64, now time.Time, age time.Duration) sentTimes {
	first := 0
	for first < len(s) && now.Sub(s[first].at) >= age {
		first++
	}
	return append(s[first:], sentTime{seq, now})
}

func (s sentTimes) at(seq uint64) (time.Time, bool) {
	for _, sent := range s {
		if sent.seq == seq {
			return sent.at, true
		}
	}
	return time.Time{}, false
}
