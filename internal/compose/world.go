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
	// settleTime is more than requestkey needs to trust its history.
	settleTime = 5 * time.Minute
)

// Options are the sizes of a World.
type Options struct {
	Seed    uint64
	Routers int
	Zones   int
	Targets int
	Keys    requestkey.Options
}

// World is a fleet in virtual time with what it depends on.
type World struct {
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
	// side is the side of the cut on which a zone is.
	side map[string]int

	// Loss and Doubled are shares of messages in percent.
	Loss, Doubled int
	// Slow makes some messages late by seconds.
	Slow bool

	calls []*Call
	runs  map[*Operation][]*Execution
	// handed holds the keys that stopped routers handed over.
	handed []handedOver
	// Violation is the first broken promise.
	Violation error
	// troubleAt is the last time at which routers could not talk.
	troubleAt time.Time
	Stats     Stats
}

// Stats count what a run covered.
type Stats struct {
	Calls, Runs, Served, Replayed, Forwards, Claims, Retries, Lost int
	HandOvers, Stops, Grants                                       int
}

// New returns a world that is in order and has one configuration in force.
func New(opts Options) *World {
	w := &World{
		opts:    opts,
		now:     time.UnixMilli(1_800_000_000_000),
		rng:     rand.New(rand.NewPCG(opts.Seed, 1)),
		targets: map[config.ID]*Target{},
		side:    map[string]int{},
		runs:    map[*Operation][]*Execution{},
	}
	w.Platform = newPlatform(w)
	for i := range opts.Targets {
		t := newTarget(w, fmt.Sprintf("desk-%d", i), zoneName(i%opts.Zones))
		w.Targets = append(w.Targets, t)
		w.targets[t.id] = t
	}
	w.Platform.Publish(true)
	for i := range opts.Routers {
		w.Routers = append(w.Routers, newRouter(w, fmt.Sprintf("router-%d", i), zoneName(i%opts.Zones), 1))
	}
	if w.Violation != nil {
		return w
	}
	w.settle()
	w.after(nil, tickInterval, w.check)
	return w
}

// settle lets the routers know the list for so long that keys of any age may
// be begun.
func (w *World) settle() {
	w.Platform.refresh()
	for _, r := range w.Routers {
		r.observe(w.Platform.list(w.now))
	}
	w.now = w.now.Add(settleTime)
	for _, r := range w.Routers {
		r.start()
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// fail notes a broken promise.
func (w *World) fail(format string, args ...any) {
	if w.Violation == nil {
		w.Violation = fmt.Errorf("%v: %s", w.now.UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
}

// Cut separates the zones whose index has its bit set from the others. Zero
// heals all cuts.
func (w *World) Cut(zones uint) {
	for i := range w.opts.Zones {
		w.side[zoneName(i)] = int(zones >> i & 1)
	}
	w.troubleAt = w.now
}

// trouble returns whether some routers cannot talk or talk late.
func (w *World) trouble() bool {
	if w.Loss > 0 || w.Slow {
		return true
	}
	for _, r := range w.Routers {
		if r.paused || !r.alive || !w.connected(r.zone, w.Routers[0].zone) {
			return true
		}
	}
	return false
}

// Now returns the true time.
func (w *World) Now() time.Time { return w.now }
