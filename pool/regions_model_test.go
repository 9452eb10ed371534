package pool

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
)

const (
	// regionTick is the virtual time between two steps of the model.
	regionTick             = 10 * time.Millisecond
	regionExchangeInterval = 500 * time.Millisecond
	// regionRate is the number of cost units that a slot serves a second.
	regionRate = 400.0
	// regionReportInterval is the time between two reports of progress.
	regionReportInterval = 50 * time.Millisecond
	// detectionDelay is the time after which routers notice that a stream was cut
	// or can be opened again.
	detectionDelay = 300 * time.Millisecond
)

// regionFaults are the probabilities that an exchange message is lost or duplicated,
// and its largest delay.
type regionFaults struct {
	loss, duplicate float64
	delay           time.Duration
}

// regionsModel simulates the schedulers of several regions. Each region has a router
// with a stream to each scheduler. Streams delay events and actions and keep their
// order.
type regionsModel struct {
	t   *rapid.T
	rng *rand.Rand
	now time.Time
	// pending holds functions to call later. running holds the granted demands,
	// all the demands that are still tracked, and served the cost that was
	// delivered to each workspace.
	pending    []delayed
	regions    []*modelRegion
	workspaces []Workspace
	faults     regionFaults
	running    []*regionDemand
	all        []*regionDemand
	served     map[config.ID]float64
	terms      map[config.ID]*regionTerms
	// partitioned is set while the first region cannot reach the others.
	partitioned bool
	// longestReportGap is the longest time from the sending of a PeerCounters
	// that a region accepted to the arrival of the next.
	longestReportGap time.Duration
	lastGrant        map[config.ID]time.Time
	// longestWithoutGrant is the longest time for which a workspace got no grant.
	longestWithoutGrant time.Duration
}

// delayed is a function to call at a time.
type delayed struct {
	at  time.Time
	run func()
}

// modelRegion is a region: its scheduler, its target and its router.
type modelRegion struct {
	name          string
	sched         *Scheduler
	target        Target
	router        Router
	seq           uint64
	demands       map[uint64]*regionDemand
	savedCounters []Counter
	// acceptedSentAt holds, by region, the time at which the last accepted
	// PeerCounters was sent.
	acceptedSentAt map[string]time.Time
	index          int
}

// regionDemand is a demand at the router of its home region. waitingAt holds its
// sequence number at each scheduler where it waits. servedBy and grantedSeq name the
// scheduler and the sequence number of its grant.
type regionDemand struct {
	workspace  config.ID
	cost       int64
	home       *modelRegion
	deadline   time.Time
	waitingAt  map[*modelRegion]uint64
	servedBy   *modelRegion
	grantedSeq uint64
	// prediction is what the router expects the scheduler to charge.
	prediction Prediction
	start      time.Time
	reported   time.Time
	done       bool
	endCount   int
	refused    bool
}

func newRegionsModel(t *rapid.T, count int, faults regionFaults) *regionsModel {
	m := &regionsModel{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: start, faults: faults, served: map[config.ID]float64{},
		terms: map[config.ID]*regionTerms{}, lastGrant: map[config.ID]time.Time{},
	}
	m.drawWorkspaces(count)
	for i := range count {
		name := regionName(i)
		m.regions = append(m.regions, &modelRegion{
			name: name, router: Router{Name: name, Incarnation: 1}, index: i,
			target:  Target{ID: config.ID(100 + i), DataCentre: name, Slots: rapid.IntRange(1, 5).Draw(t, "slots"), Speed: 1},
			demands: map[uint64]*regionDemand{}, acceptedSentAt: map[string]time.Time{},
		})
	}
	for _, g := range m.regions {
		m.startScheduler(g)
	}
	for i, g := range m.regions {
		m.after(time.Duration(i+1)*regionExchangeInterval/time.Duration(count), func() { m.exchange(g) })
	}
	return m
}

// drawWorkspaces draws either workspaces with any data centres, or one workspace
// without a data centre and one for each region.
func (m *regionsModel) drawWorkspaces(regions int) {
	oneOfEach := rapid.Bool().Draw(m.t, "one of each")
	count := regions + 1
	if !oneOfEach {
		count = rapid.IntRange(2, 5).Draw(m.t, "workspaces")
	}
	for i := range count {
		w := Workspace{ID: config.ID(i + 1), Share: uint32(rapid.IntRange(1, 4).Draw(m.t, "share"))}
		region := i - 1
		if !oneOfEach {
			region = rapid.IntRange(-regions, regions-1).Draw(m.t, "side")
		}
		if region >= 0 {
			w.DataCentre = regionName(region)
		}
		m.workspaces = append(m.workspaces, w)
		m.terms[w.ID] = &regionTerms{}
	}
}

func regionName(i int) string { return string(rune('a' + i)) }

func (m *regionsModel) after(d time.Duration, run func()) {
	m.pending = append(m.pending, delayed{m.now.Add(d), run})
}

func (m *regionsModel) chance(p float64) bool { return m.rng.Float64() < p }

func (m *regionsModel) reachable(a, b *modelRegion) bool {
	return !m.partitioned || (a.index == 0) == (b.index == 0)
}

// streamDelay returns the delay of the stream between a router and a scheduler.
func streamDelay(a, b *modelRegion) time.Duration {
	return time.Duration(1+3*max(a.index-b.index, b.index-a.index)) * time.Millisecond
}

// startScheduler starts an empty scheduler, which the routers that can reach it join.
func (m *regionsModel) startScheduler(g *modelRegion) {
	g.sched = New(Options{InitialCost: 100, MaxLead: regionMaxLead, HoldTime: time.Second, SettleTime: regionTick})
	g.sched.Step(m.now, ConfigurationChanged{Targets: []Target{g.target}, Workspaces: m.workspaces})
	for _, from := range m.regions {
		if m.reachable(from, g) {
			m.join(from, g)
		}
	}
	m.sendReachableRegions(g)
}

// join opens a stream from a router to a scheduler and sends the router's state for it.
// Only the router of the scheduler's own region holds its counters.
func (m *regionsModel) join(from, g *modelRegion) {
	joined := RouterJoined{Router: from.router}
	if from == g {
		joined.Counters = g.savedCounters
	}
	for _, d := range m.running {
		if d.home == from && d.servedBy == g {
			joined.InFlight = append(joined.InFlight, d.inFlight(m.now))
		}
	}
	m.sendEvent(from, g, joined)
	for _, d := range m.all {
		if seq, waits := d.waitingAt[g]; waits && d.home == from {
			m.sendEvent(from, g, m.event(d, seq, g != from))
		}
	}
}

// sendReachableRegions sends RegionsChanged to the scheduler of g.
func (m *regionsModel) sendReachableRegions(g *modelRegion) {
	var others []Region
	for _, o := range m.regions {
		if o != g && m.reachable(g, o) {
			others = append(others, Region{Name: o.name, DataCentres: []string{o.name}})
		}
	}
	m.step(g, RegionsChanged{others})
}

// sendEvent sends an event of a router. The event is lost if its scheduler was replaced
// or cannot be reached when it arrives.
func (m *regionsModel) sendEvent(from, g *modelRegion, e Event) {
	sched := g.sched
	m.after(streamDelay(from, g), func() {
		if g.sched == sched && m.reachable(from, g) {
			m.step(g, e)
		}
	})
}

// step passes an event to the scheduler of g and sends its actions to the routers.
func (m *regionsModel) step(g *modelRegion, e Event) {
	sched := g.sched
	for _, action := range slices.Clone(sched.Step(m.now, e)) {
		from := m.regionOf(recipient(action))
		m.after(streamDelay(from, g), func() {
			if g.sched == sched && m.reachable(from, g) {
				m.handleAction(from, g, action)
			}
		})
	}
}

func (m *regionsModel) regionOf(r Router) *modelRegion {
	return m.regions[slices.IndexFunc(m.regions, func(g *modelRegion) bool { return g.router == r })]
}

// exchange sends the counters of a region to the others, and again after
// regionExchangeInterval.
func (m *regionsModel) exchange(g *modelRegion) {
	for _, o := range m.regions {
		if o == g {
			continue
		}
		message, sent := g.sched.PeerCounters(g.name), m.now
		copies := 1
		if m.chance(m.faults.duplicate) {
			copies = 2
		}
		for range copies {
			if m.chance(m.faults.loss) {
				continue
			}
			delay := time.Duration(m.rng.Int64N(int64(m.faults.delay)) + 1)
			m.after(delay, func() { m.receiveCounters(g, o, message, sent) })
		}
	}
	g.savedCounters = g.sched.Counters()
	m.sendReachableRegions(g)
	m.after(regionExchangeInterval, func() { m.exchange(g) })
}

// receiveCounters passes PeerCounters to a scheduler and measures longestReportGap.
func (m *regionsModel) receiveCounters(from, to *modelRegion, message PeerCounters, sent time.Time) {
	if !m.reachable(from, to) {
		return
	}
	if last, ok := to.acceptedSentAt[from.name]; ok && sent.After(last) {
		m.longestReportGap = max(m.longestReportGap, m.now.Sub(last))
	}
	if sent.After(to.acceptedSentAt[from.name]) {
		to.acceptedSentAt[from.name] = sent
	}
	m.step(to, message)
}

// advance runs all that happens in one tick.
func (m *regionsModel) advance() {
	end := m.now.Add(regionTick)
	for len(m.pending) > 0 {
		next := 0
		for i, d := range m.pending {
			if d.at.Before(m.pending[next].at) {
				next = i
			}
		}
		d := m.pending[next]
		if d.at.After(end) {
			break
		}
		m.pending = slices.Delete(m.pending, next, next+1)
		m.now = d.at
		d.run()
	}
	m.now = end
	for _, g := range m.regions {
		m.step(g, Tick{})
	}
	m.serve()
}

// setPartitioned cuts the first region off from the others, or connects it again.
// Routers and schedulers notice it after detectionDelay.
func (m *regionsModel) setPartitioned(partitioned bool) {
	m.partitioned = partitioned
	m.after(detectionDelay, func() {
		for _, g := range m.regions {
			m.sendReachableRegions(g)
			for _, from := range m.regions {
				m.updateStream(from, g)
			}
		}
	})
}

// updateStream closes or opens the stream between a router and a scheduler on different
// sides of the partition. The router forgets its waiting demands at a scheduler that it
// cannot reach.
func (m *regionsModel) updateStream(from, g *modelRegion) {
	if (from.index == 0) == (g.index == 0) {
		return
	}
	if !m.partitioned {
		m.join(from, g)
		return
	}
	m.step(g, RouterLost{from.router})
	for _, d := range m.all {
		if seq, waits := d.waitingAt[g]; waits && d.home == from && g != from {
			delete(d.waitingAt, g)
			delete(from.demands, seq)
		}
	}
}

// drain lets time pass, then checks that each demand ended once and all slots are free.
func (m *regionsModel) drain(limit time.Duration) {
	for end := m.now.Add(limit); m.now.Before(end); {
		m.advance()
	}
	for _, d := range m.all {
		if d.endCount != 1 {
			m.t.Fatalf("a demand ended %d times; it waits at %d schedulers", d.endCount, len(slices.Collect(maps.Keys(d.waitingAt))))
		}
	}
	for _, g := range m.regions {
		if status := g.sched.Status(); status.FreeSlots != g.target.Slots || status.Queued != 0 {
			m.t.Fatalf("region %s has %d of %d slots free and %d demands waiting", g.name, status.FreeSlots, g.target.Slots, status.Queued)
		}
	}
}
