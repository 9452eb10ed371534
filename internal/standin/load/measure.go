package load

import (
	"context"
	"net/http"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/loadlog"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// sampleInterval is the time between two samples of the delivered cost.
	sampleInterval = 100 * time.Millisecond
	// samplesPerLoadReading is the number of cost samples for each reading of the
	// targets' load.
	samplesPerLoadReading = 3
	// loadTimeout bounds the time to read the load of one target.
	loadTimeout = 250 * time.Millisecond
)

// measurement holds what was measured between the end of the warm-up and the time at
// which the generator stopped sending.
type measurement struct {
	elapsed time.Duration
	// receivedCost is the cost delivered to each flow.
	receivedCost map[*flow]uint64
	// gaps and usage are by the name of the pool.
	gaps  map[string]*gapTracker
	usage map[string]*slotUsage
}

// slotUsage summarises the readings of the load of a pool's targets.
type slotUsage struct {
	readings int
	// usedSum is the sum, over all readings, of the fraction of the pool's slots in use.
	usedSum float64
	// peak is the highest load of any single target, divided by its slots; peakTarget is
	// the name of that target.
	peak       float64
	peakTarget string
	// overloadedReadings counts the readings in which a target had more requests than
	// slots.
	overloadedReadings int
}

// measure takes samples after the warm-up until ctx ends.
func (g *generator) measure(ctx context.Context) *measurement {
	sleep(ctx, min(warmUp, g.options.Duration/4))
	began := time.Now()
	before := deliveredCosts(g.flows)
	m := &measurement{gaps: newGapTrackers(g.flows), usage: map[string]*slotUsage{}}
	for n := 0; ctx.Err() == nil; n++ {
		m.sampleGaps()
		if n%samplesPerLoadReading == 0 {
			g.sampleLoad(ctx, m)
		}
		sleep(ctx, sampleInterval)
	}
	m.elapsed = time.Since(began)
	m.receivedCost = deliveredCosts(g.flows)
	for f, cost := range before {
		m.receivedCost[f] -= cost
	}
	return m
}

func (m *measurement) sampleGaps() {
	for _, tracker := range m.gaps {
		tracker.sample()
	}
}

// deliveredCosts returns the cost delivered to each flow since the start of the run.
func deliveredCosts(flows []*flow) map[*flow]uint64 {
	delivered := map[*flow]uint64{}
	for _, f := range flows {
		delivered[f] = f.deliveredCost.Load()
	}
	return delivered
}

// sampleLoad reads the load of all pools and adds it to m. It leaves out a pool of which
// no target answered.
func (g *generator) sampleLoad(ctx context.Context, m *measurement) {
	for _, pool := range g.options.Configuration.Pools {
		reading, ok := g.readPoolLoad(ctx, pool.Name)
		if !ok {
			continue
		}
		usage := m.usage[pool.Name]
		if usage == nil {
			usage = &slotUsage{}
			m.usage[pool.Name] = usage
		}
		usage.add(reading)
	}
}

func (u *slotUsage) add(r loadReading) {
	u.readings++
	u.usedSum += r.used
	if r.peak > 1 {
		u.overloadedReadings++
	}
	if r.peak > u.peak {
		u.peak, u.peakTarget = r.peak, r.peakTarget
	}
}

// loadReading is the load of a pool at one time.
type loadReading struct {
	// used is the fraction of the pool's slots in use.
	used float64
	// peak is the highest load of a single target, divided by its slots; peakTarget is
	// the name of that target.
	peak       float64
	peakTarget string
}

// readPoolLoad reads the load of the pool's targets that have slots. ok is false if none
// of them answered.
func (g *generator) readPoolLoad(ctx context.Context, pool string) (reading loadReading, ok bool) {
	busy, slots := 0, 0
	for _, target := range g.options.Configuration.Targets {
		if target.Pool != pool || target.Slots == 0 {
			continue
		}
		load, err := readTargetLoad(ctx, g.client, target)
		if err != nil {
			continue
		}
		size := int(target.Slots)
		busy += min(load.Active, size)
		slots += size
		if part := float64(load.Active) / float64(size); part > reading.peak {
			reading.peak, reading.peakTarget = part, target.Name
		}
	}
	if slots == 0 {
		return loadReading{}, false
	}
	reading.used = float64(busy) / float64(slots)
	return reading, true
}

func readTargetLoad(ctx context.Context, client *http.Client, target *v1.Target) (loadlog.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var load loadlog.Load
	err := getJSON(ctx, client, "http://"+target.Address+loadlog.Path, &load)
	return load, err
}
