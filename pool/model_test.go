package pool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// modelTick is the virtual time between two steps of the model.
const modelTick = 10 * time.Millisecond

// modelFaults are the faults of the model. loss, duplicate and staleDelivery (an event
// of an earlier stream arrives) are probabilities per message, badOutcome (a demand is
// not served) is one per demand, and the others are per tick and router or scheduler.
// maxDelay is the largest delay of a message.
type modelFaults struct {
	loss, duplicate, staleDelivery          float64
	restart, pause, rejoin, changeHome      float64
	badOutcome, targetReport, toggleLeaving float64
	changeDataCentre, allot                 float64
	maxDelay                                time.Duration
}

// modelDemand is a demand at its router.
type modelDemand struct {
	Demand
	cost       int64
	running    bool
	target     config.ID
	start, end time.Time
	reported   int64
	rate       int64
	outcome    v1.Outcome
}

// progress returns the cost that was delivered by now.
func (d *modelDemand) progress(now time.Time) int64 {
	if !d.running {
		return 0
	}
	part := float64(now.Sub(d.start)) / float64(d.end.Sub(d.start))
	return int64(min(part, 1) * float64(d.cost))
}

// modelRouter is the state of a router. home is the index of its scheduler, and epoch
// counts its streams. open holds the demands that have not ended, and spares the expiry
// times of its spare slots.
type modelRouter struct {
	id       Router
	zone     string
	home     int
	epoch    int
	seq      uint64
	open     map[uint64]*modelDemand
	counters map[config.ID]Counter
	spares   map[uint64]time.Time
	lost     bool
}

// message is an event or an action between a router and its scheduler, on the stream
// with the given epoch.
type message struct {
	at      time.Time
	router  *modelRouter
	epoch   int
	event   Event
	action  Action
	counter Counter
}

// model simulates routers and schedulers with faults, in virtual time.
type model struct {
	rng         *rand.Rand
	faults      modelFaults
	options     Options
	now         time.Time
	schedulers  []*Scheduler
	pausedUntil []time.Time
	routers     []*modelRouter
	targets     []Target
	workspaces  []Workspace
	meanCost    func(config.ID) int64
	messages    []message
	delivered   map[config.ID]int64
	ended       map[DemandID]string
	answered    map[string]bool
	// expired holds the demands that no scheduler had answered a second after
	// their deadline.
	expired  map[DemandID]bool
	restarts int
	started  map[config.ID]int
	failures []string
}

func newModel(seed uint64, schedulers, routers int, o Options, f modelFaults, targets []Target, workspaces []Workspace) *model {
	m := &model{
		rng:        rand.New(rand.NewPCG(seed, seed)),
		faults:     f,
		options:    o,
		now:        time.Unix(1e9, 0),
		targets:    targets,
		workspaces: workspaces,
		meanCost:   func(config.ID) int64 { return 100 },
		delivered:  map[config.ID]int64{},
		ended:      map[DemandID]string{},
		answered:   map[string]bool{},
		expired:    map[DemandID]bool{},
		started:    map[config.ID]int{},
	}
	for i := range schedulers {
		m.schedulers = append(m.schedulers, nil)
		m.pausedUntil = append(m.pausedUntil, time.Time{})
		m.restart(i)
	}
	for i := range routers {
		r := &modelRouter{
			id:       Router{Name: fmt.Sprint("r", i), Incarnation: 1},
			zone:     fmt.Sprint("z", i%2),
			home:     i % schedulers,
			open:     map[uint64]*modelDemand{},
			counters: map[config.ID]Counter{},
			spares:   map[uint64]time.Time{},
		}
		m.routers = append(m.routers, r)
		m.join(r)
	}
	return m
}

func (m *model) failf(format string, args ...any) {
	m.failures = append(m.failures, fmt.Sprintf(format, args...))
}

func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

// restart replaces a scheduler by an empty one, which the routers join.
func (m *model) restart(i int) {
	o := m.options
	o.Seed = m.rng.Uint64()
	m.schedulers[i] = New(o)
	m.restarts++
	m.step(i, TargetsChanged{Targets: slices.Clone(m.targets)})
	m.step(i, WorkspacesChanged{Workspaces: m.workspaces})
	for _, r := range m.routers {
		if r.home == i {
			m.join(r)
		}
	}
}

// join opens a new stream from r to its scheduler and sends what r holds.
func (m *model) join(r *modelRouter) {
	r.epoch++
	r.lost = false
	clear(r.spares)
	e := RouterJoined{Router: r.id, Zone: r.zone}
	for _, c := range r.counters {
		e.Counters = append(e.Counters, c)
	}
	open := r.sortedDemands()
	for _, d := range open {
		if d.running {
			charged := d.progress(m.now)
			e.InFlight = append(e.InFlight, InFlight{ID: d.ID, Workspace: d.Workspace, Target: d.target, Charged: charged, Rate: d.rate})
		}
	}
	m.step(r.home, e)
	for _, d := range open {
		if !d.running {
			m.send(r, d.Demand)
		}
	}
}

func (r *modelRouter) sortedDemands() []*modelDemand {
	demands := make([]*modelDemand, 0, len(r.open))
	for _, d := range r.open {
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b *modelDemand) int { return int(a.ID.Seq) - int(b.ID.Seq) })
	return demands
}

func (m *model) delay() time.Time {
	return m.now.Add(time.Duration(m.rng.Int64N(int64(m.faults.maxDelay) + 1)))
}

// send sends an event of r on its current stream.
func (m *model) send(r *modelRouter, e Event) {
	m.enqueueMessage(message{router: r, epoch: r.epoch, event: e})
}

// enqueueMessage puts a message on the network, with the faults loss and duplicate.
func (m *model) enqueueMessage(msg message) {
	for copies := 1; copies > 0; copies-- {
		if m.chance(m.faults.duplicate) {
			copies++
		}
		if !m.chance(m.faults.loss) {
			msg.at = m.delay()
			m.messages = append(m.messages, msg)
		}
	}
}

// step passes an event to a scheduler, sends its actions to the routers and checks the
// scheduler.
func (m *model) step(i int, e Event) {
	s := m.schedulers[i]
	for _, a := range s.Step(m.now, e) {
		switch a := a.(type) {
		case Grant:
			m.checkAnsweredOnce(s, a.ID)
			m.checkGrant(s, a, mayOverAdmit(e))
		case Refuse:
			m.checkAnsweredOnce(s, a.ID)
		}
		for _, r := range m.routers {
			if r.id == recipient(a) && r.home == i {
				m.enqueueMessage(message{router: r, epoch: r.epoch, action: a, counter: m.counterOf(s, r, a)})
			}
		}
	}
	m.checkScheduler(s)
}

// deliver delivers the messages that are due, in the order in which they were sent. A
// paused scheduler gets none.
func (m *model) deliver() {
	var notDue, due []message
	for _, msg := range m.messages {
		waits := msg.event != nil && m.now.Before(m.pausedUntil[msg.router.home])
		if msg.at.After(m.now) || waits {
			notDue = append(notDue, msg)
		} else {
			due = append(due, msg)
		}
	}
	m.messages = notDue
	for _, msg := range due {
		current := msg.epoch == msg.router.epoch && !msg.router.lost
		switch {
		case msg.event != nil && (current || m.chance(m.faults.staleDelivery)):
			m.step(msg.router.home, msg.event)
		case msg.action != nil && current:
			m.receive(msg.router, msg.action, msg.counter)
		}
	}
}

// receive processes an action at a router.
func (m *model) receive(r *modelRouter, a Action, c Counter) {
	switch a := a.(type) {
	case Grant:
		d := r.open[a.ID.Seq]
		if d == nil {
			m.send(r, Done{ID: a.ID, Outcome: v1.Outcome_UNUSED})
			return
		}
		r.counters[c.Workspace] = c
		if !d.running {
			d.rate = a.Rate
			m.run(d, a.Target)
		}
	case Refuse:
		if d := r.open[a.ID.Seq]; d != nil && !d.running {
			m.end(r, d, "refused")
		}
	case HandSpare:
		r.spares[a.Spare] = a.Expires
	case RevokeSpare:
		if _, ok := r.spares[a.Spare]; ok {
			delete(r.spares, a.Spare)
			m.send(r, SpareReturned{Router: r.id, Spare: a.Spare})
		}
	}
}

// run starts a demand on a target and draws its outcome.
func (m *model) run(d *modelDemand, target config.ID) {
	speed := 1.0
	for _, t := range m.targets {
		if t.ID == target {
			speed = t.Speed
		}
	}
	d.running = true
	d.target = target
	d.start = m.now
	d.end = m.now.Add(time.Duration(float64(d.cost)/speed)*time.Millisecond + 1)
	m.started[d.Workspace]++
	d.outcome = v1.Outcome_SERVED
	if m.chance(m.faults.badOutcome) {
		d.outcome = v1.Outcome(2 + m.rng.IntN(3))
	}
}

// end removes a demand from its router, and fails if it has ended before.
func (m *model) end(r *modelRouter, d *modelDemand, how string) {
	if before, ok := m.ended[d.ID]; ok {
		m.failf("demand %v ended twice: %s, %s", d.ID, before, how)
	}
	m.ended[d.ID] = how
	delete(r.open, d.ID.Seq)
}

// submit creates a demand at r. It starts on a spare slot if r holds one that has not
// expired.
func (m *model) submit(r *modelRouter, w Workspace, wait time.Duration) *modelDemand {
	r.seq++
	mean := m.meanCost(w.ID)
	d := &modelDemand{cost: 1 + m.rng.Int64N(2*mean)}
	d.Demand = Demand{
		ID:        DemandID{r.id, r.seq},
		Workspace: w.ID,
		Deadline:  m.now.Add(wait),
		Prefix:    m.rng.Uint32N(5),
		BodyBytes: 10,
	}
	r.open[r.seq] = d
	for _, spare := range slices.Sorted(maps.Keys(r.spares)) {
		expires := r.spares[spare]
		delete(r.spares, spare)
		if expires.After(m.now) {
			m.run(d, config.ID(spare>>spareTargetShift))
			m.send(r, SpareUsed{spare, d.Demand})
			return d
		}
	}
	m.send(r, d.Demand)
	return d
}

// advance advances routers and schedulers by one tick.
func (m *model) advance() {
	m.now = m.now.Add(modelTick)
	m.injectFaults()
	for _, r := range m.routers {
		for _, d := range r.sortedDemands() {
			m.serve(r, d)
		}
	}
	m.deliver()
	for i, s := range m.schedulers {
		at, ok := s.NextTick()
		if ok && !at.After(m.now) && !m.now.Before(m.pausedUntil[i]) {
			m.step(i, Tick{})
		}
	}
}

// serve ends or reports on one demand at its router.
func (m *model) serve(r *modelRouter, d *modelDemand) {
	switch {
	case !d.running && m.now.After(d.Deadline.Add(time.Second)):
		m.end(r, d, "expired")
		m.expired[d.ID] = true
		m.send(r, Cancel{ID: d.ID})
	case !d.running:
	case !d.end.After(m.now):
		m.delivered[d.Workspace] += d.cost
		m.end(r, d, "granted")
		m.send(r, Done{ID: d.ID, Cost: d.cost, Outcome: d.outcome, ServiceTime: d.end.Sub(d.start)})
	case d.progress(m.now) >= d.reported+50:
		d.reported = d.progress(m.now)
		m.send(r, Progress{ID: d.ID, Cost: d.reported})
	}
}

// injectFaults draws the faults of schedulers, routers and targets.
func (m *model) injectFaults() {
	for i := range m.schedulers {
		if m.chance(m.faults.restart) {
			m.restart(i)
		}
		if m.chance(m.faults.pause) {
			m.pausedUntil[i] = m.now.Add(time.Duration(m.rng.IntN(3000)) * time.Millisecond)
		}
		if m.chance(m.faults.changeDataCentre) {
			m.moveWorkspace(i)
		}
		if m.faults.allot > 0 && m.chance(m.faults.allot) {
			m.allot(i)
		}
		if m.chance(m.faults.toggleLeaving) {
			t := &m.targets[m.rng.IntN(len(m.targets))]
			t.Leaving = !t.Leaving
			m.step(i, TargetsChanged{Targets: slices.Clone(m.targets)})
		}
	}
	for _, r := range m.routers {
		if m.chance(m.faults.targetReport) {
			t := m.targets[m.rng.IntN(len(m.targets))]
			m.send(r, TargetReport{r.id, t.ID, m.chance(0.5)})
		}
		switch {
		case r.lost && m.chance(0.05):
			m.join(r)
		case m.chance(m.faults.rejoin):
			r.lost = true
			m.step(r.home, RouterLost{Router: r.id})
		case m.chance(m.faults.changeHome):
			old := r.home
			r.home = m.rng.IntN(len(m.schedulers))
			m.join(r)
			if old != r.home {
				m.step(old, RouterLost{Router: r.id})
			}
		}
	}
}
