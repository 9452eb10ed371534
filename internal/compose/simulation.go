package compose

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/requestkey"
)

const (
	// tickInterval is the interval of the routers' periodic work and of the checks.
	tickInterval = 100 * time.Millisecond
	// listHistoryTime exceeds the time for which a ledger must have observed the
	// instance list before it begins keys of any age. That time is Lifetime + Right +
	// 2*ClockError of requestkey.Options.
	listHistoryTime = 5 * time.Minute
)

// Options configure a Simulation.
type Options struct {
	Seed uint64
	// Routers, Zones and Targets are numbers. Routers and targets are distributed
	// over the zones in turn.
	Routers int
	Zones   int
	Targets int
	// Keys are the options of each router's ledger.
	Keys requestkey.Options
}

// Simulation is a fleet of routers in virtual time, with the platform, the targets and
// the network that the routers use. It is not safe for concurrent use.
type Simulation struct {
	opts Options
	// now is the true time. Clocks of routers deviate from it.
	now time.Time
	rng *rand.Rand
	// seq is the number of events scheduled so far.
	seq   uint64
	queue eventQueue

	// Routers holds the latest incarnation of each router.
	Routers  []*Router
	Targets  []*Target
	Platform *Platform
	targets  map[config.ID]*Target
	// zoneSide maps each zone to its side of the network partition, 0 or 1.
	zoneSide map[string]int

	// LossPercent and DuplicatePercent are the percentages of messages between
	// routers that are lost and duplicated.
	LossPercent, DuplicatePercent int
	// Slow delays slowPercent of all messages by up to maxSlowDelay.
	Slow bool

	// calls holds all calls in the order in which they were sent.
	calls []*Call
	runs  map[*Operation][]*TargetRun
	// handedOver holds the records of keys that stopping routers handed over and
	// their successors accepted.
	handedOver []handedOverRecord
	// Violation describes the first guarantee that was broken.
	Violation error
	// lastDisruption is the last time at which a check found the fleet disrupted, the
	// network partition was set, or a router crashed, restarted, paused or resumed.
	lastDisruption time.Time
	Stats          Stats
}

// Stats counts events of a simulation, to show what it covered. Runs are runs at targets,
// Lost the losses of targets that were reported to callers, and HandOvers the records that
// successors accepted from stopping routers.
type Stats struct {
	Calls, Runs, Served, Replayed, Forwards, Claims, Retries, Lost int
	HandOvers, Stops, Grants                                       int
}

// New returns a simulation without failures in which one valid configuration is
// published and all routers have started.
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

// observeInitialList publishes the first instance list, lets all routers observe it and
// starts them listHistoryTime later, so that they may begin keys of any age.
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

// fail records that a guarantee was broken. Only the first call has an effect.
func (sim *Simulation) fail(format string, args ...any) {
	if sim.Violation == nil {
		sim.Violation = fmt.Errorf("%v: %s", sim.now.UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
}

// Partition cuts the network between the zones whose index has its bit set in zones and
// all other zones. Zero connects all zones.
func (sim *Simulation) Partition(zones uint) {
	for i := range sim.opts.Zones {
		sim.zoneSide[zoneName(i)] = int(zones >> i & 1)
	}
	sim.lastDisruption = sim.now
}

// disrupted returns whether messages between routers may be lost or late, a router is
// paused or has ended, or the network is partitioned between routers.
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

// Now returns the true virtual time.
func (sim *Simulation) Now() time.Time { return sim.now }
