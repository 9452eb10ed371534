package compose

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/requestkey"
)

const (
	tickInterval = 100 * time.Millisecond
	// listHistoryTime is more than requestkey needs to trust its history.
	listHistoryTime = 5 * time.Minute
)

// Options are the sizes of a World.
type Options struct {
	Seed    uint64
	Routers int
	Zones   int
	Targets int
	Keys    requestkey.Options
}

// Simulation is a fleet in virtual time with what it depends on.
type Simulation struct {
	opts  Options
	now   time.Time
	rng   *rand.Rand
	seq   uint64
	queue eventQueue

	// Routers holds the latest incarnation of each router.
	Routers  []*Router
	Targets  []*Target
	Platform *Platform
	targets  map[config.ID]*Target
	// zoneSide is the zoneSide of the cut on which a zone is.
	zoneSide map[string]int

	// LossPercent and DuplicatePercent are shares of messages in percent.
	LossPercent, DuplicatePercent int
	// Slow makes some messages late by seconds.
	Slow bool

	calls []*Call
	runs  map[*Operation][]*TargetRun
	// handedOver holds the keys that stopped routers handedOver over.
	handedOver []handedOverRecord
	// Violation is the first broken promise.
	Violation error
	// lastDisruption is the last time at which routers could not talk.
	lastDisruption time.Time
	Stats          Stats
}

// Stats count what a run covered.
type Stats struct {
	Calls, Runs, Served, Replayed, Forwards, Claims, Retries, Lost int
	HandOvers, Stops, Grants                                       int
}

// New returns a world that is in order and has one configuration in force.
func New(opts Options) *Simulation {
	sim := &Simulation{
		opts:     opts,
		now:      time.UnixMilli(1_800_000_000_000),
		rng:      rand.New(rand.NewPCG(opts.Seed, 1)),
		targets:  map[config.ID]*Target{},
		zoneSide: map[string]int{},
		runs:     map[*Operation][]*TargetRun{},
	}
	sim.Platform = newPlatform(sim)
	for i := range opts.Targets {
		t := newTarget(sim, fmt.Sprintf("desk-%d", i), zoneName(i%opts.Zones))
		sim.Targets = append(sim.Targets, t)
		sim.targets[t.id] = t
	}
	sim.Platform.Publish(true)
	for i := range opts.Routers {
		sim.Routers = append(sim.Routers, newRouter(sim, fmt.Sprintf("router-%d", i), zoneName(i%opts.Zones), 1))
	}
	if sim.Violation != nil {
		return sim
	}
	sim.observeInitialList()
	sim.after(nil, tickInterval, sim.checkRouters)
	return sim
}

// observeInitialList lets the routers know the list for so long that keys of any age may
// be begun.
func (sim *Simulation) observeInitialList() {
	sim.Platform.publishList()
	for _, r := range sim.Routers {
		r.observeList(sim.Platform.listAt(sim.now))
	}
	sim.now = sim.now.Add(listHistoryTime)
	for _, r := range sim.Routers {
		r.start()
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// fail notes a broken promise.
func (sim *Simulation) fail(format string, args ...any) {
	if sim.Violation == nil {
		sim.Violation = fmt.Errorf("%v: %s", sim.now.UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
}

// Partition separates the zones whose index has its bit set from the others. Zero
// heals all cuts.
func (sim *Simulation) Partition(zones uint) {
	for i := range sim.opts.Zones {
		sim.zoneSide[zoneName(i)] = int(zones >> i & 1)
	}
	sim.lastDisruption = sim.now
}

// disrupted returns whether some routers cannot talk or talk late.
func (sim *Simulation) disrupted() bool {
	if sim.LossPercent > 0 || sim.Slow {
		return true
	}
	for _, r := range sim.Routers {
		if r.paused || !r.alive || !sim.connected(r.zone, sim.Routers[0].zone) {
			return true
		}
	}
	return false
}

// Now returns the true time.
func (sim *Simulation) Now() time.Time { return sim.now }
