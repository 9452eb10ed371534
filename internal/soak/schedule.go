package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault. Those of a router come from signals and from the relays of its
// callers and of its store, those of a target from the target and its relay.
const (
	KillRouter   Kind = "router-kill"
	PauseRouter  Kind = "router-pause"
	StopRouter   Kind = "router-stop"
	ReloadRouter Kind = "router-reload"
	DelayCallers Kind = "callers-delay"
	ResetCallers Kind = "callers-reset"
	CutAnswers   Kind = "callers-cut-one-way"
	StoreLink    Kind = "store-link-silent"
	StoreReset   Kind = "store-link-reset"

	StoreDown    Kind = "store-down"
	StoreSilent  Kind = "store-silent"
	StoreCompact Kind = "store-compact"
	Publish      Kind = "configuration"

	TargetCrash   Kind = "target-crash"
	TargetDrain   Kind = "target-drain"
	TargetFull    Kind = "target-full"
	TargetSlow    Kind = "target-slow"
	TargetBreak   Kind = "target-break"
	TargetExtra   Kind = "target-extra-answer"
	TargetFail    Kind = "target-fail"
	TargetDelay   Kind = "target-delay"
	TargetReset   Kind = "target-reset"
	TargetCut     Kind = "target-cut-one-way"
	TargetSilence Kind = "target-silence"
)

// Kinds lists all kinds of fault.
var Kinds = []Kind{
	KillRouter, PauseRouter, StopRouter, ReloadRouter, DelayCallers, ResetCallers, CutAnswers, StoreLink, StoreReset,
	StoreDown, StoreSilent, StoreCompact, Publish,
	TargetCrash, TargetDrain, TargetFull, TargetSlow, TargetBreak, TargetExtra, TargetFail, TargetDelay, TargetReset,
	TargetCut, TargetSilence,
}

func (k Kind) onRouter() bool {
	return strings.HasPrefix(string(k), "router-") || strings.HasPrefix(string(k), "callers-") ||
		strings.HasPrefix(string(k), "store-link")
}

func (k Kind) onTarget() bool { return strings.HasPrefix(string(k), "target-") }

// planned faults are the operator's work, in which nothing may be lost.
func (k Kind) planned() bool {
	return k == StopRouter || k == ReloadRouter || k == Publish || k == TargetDrain
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// At is the time from the start of traffic, For how long it lasts.
	At, For time.Duration
	// On is the number of the router or target.
	On int
}

// String returns one line of a report.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s  %-20s on %d for %.2f s", f.At.Seconds(), f.Kind, f.On, f.For.Seconds())
}

const (
	// meanGap is the mean time between the starts of two faults, which therefore
	// overlap; shortest and longest bound how long one lasts. The longest is twice the
	// time after which routers forget a silent one.
	meanGap  = 500 * time.Millisecond
	shortest = 200 * time.Millisecond
	longest  = 6 * time.Second
	// seriesShare is the part of faults that come again at once at the next place.
	seriesShare = 0.25
)

// Schedule draws the faults of a run. The same seed and sizes draw the same faults.
func Schedule(seed uint64, c Config) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := c.Kinds
	if len(kinds) == 0 {
		kinds = Kinds
	}
	var faults []Fault
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at > c.Length-shortest {
			break
		}
		f := Fault{Kind: kinds[random.IntN(len(kinds))], At: at}
		f.For = min(shortest+time.Duration(random.ExpFloat64()*float64(longest/4)), longest, c.Length-at)
		f.On = drawPlace(random, f.Kind, c)
		faults = append(faults, f)
		if random.Float64() < seriesShare {
			f.At += time.Duration(random.Float64() * float64(shortest))
			f.On = drawPlace(random, f.Kind, c)
			faults = append(faults, f)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

func drawPlace(random *rand.Rand, k Kind, c Config) int {
	switch {
	case k.onRouter():
		return random.IntN(c.Routers)
	case k.onTarget():
		return random.IntN(c.Targets)
	}
	return 0
}
