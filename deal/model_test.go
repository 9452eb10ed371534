package deal

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	"github.com/chiveseam/chiveseam/pool"
)

const modelTick = 50 * time.Millisecond

// model runs dealers and holders in virtual time over a network with faults.
type model struct {
	t       *rapid.T
	rng     *rand.Rand
	now     time.Time
	options Options
	targets []pool.Target
	dealers map[pool.Router]*Dealer
	shards  []*modelShard
	queue   []modelMessage
	// orphans are requests in flight by target whose holder is gone.
	orphans map[int]map[config.ID]int

	loss, double float64
	delay        time.Duration
	// limit is the number of times that a slot may be held; zero is any.
	limit int
}

type modelMessage struct {
	at     time.Time
	dealer pool.Router
	report *Report
	answer *Allotment
}

// modelShard is a holder and a scheduler that always uses what it may.
type modelShard struct {
	holder  *Holder
	shard   int
	alive   bool
	slots   map[config.ID]int
	busy    map[config.ID]int
	yield   map[string]int
	yielded map[config.ID]int
	backlog pool.Backlog
	// changed is set after SlotsChanged.
	changed bool
}

func newModel(t *rapid.T, shards, targets int) *model {
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		now: time.Unix(1_800_000_000, 0), options: Options{Shards: shards},
		dealers: map[pool.Router]*Dealer{}, orphans: map[int]map[config.ID]int{}, limit: 1,
		delay: time.Millisecond,
	}
	for i := range targets {
		m.targets = append(m.targets, pool.Target{
			ID: config.ID(i + 1), Zone: fmt.Sprint(i % 3), DataCentre: fmt.Sprint(i % 2),
			Slots: rapid.IntRange(1, 20).Draw(t, "slots"),
		})
	}
	for i := range shards {
		m.addHolder(i, 1)
	}
	return m
}

func router(name string, incarnation uint64) pool.Router {
	return pool.Router{Name: name, Incarnation: incarnation}
}

func (m *model) addHolder(shard int, incarnation uint64) *modelShard {
	s := &modelShard{shard: shard, alive: true, slots: map[config.ID]int{}, busy: map[config.ID]int{}}
	if orphans := m.orphans[shard]; orphans != nil {
		s.busy = orphans
		delete(m.orphans, shard)
	}
	s.backlog = pool.Backlog{Share: uint64(m.rng.IntN(9) + 1), Need: m.rng.IntN(60)}
	s.holder = NewHolder(router(fmt.Sprint("holder-", shard), incarnation), shard, m.options)
	m.shards = append(m.shards, s)
	m.stepHolder(s, TargetsChanged{m.targets})
	return s
}

// kill ends a holder. Its requests go on.
func (m *model) kill(s *modelShard) {
	s.alive = false
	m.orphans[s.shard] = s.busy
	m.shards = slices.DeleteFunc(m.shards, func(other *modelShard) bool { return other == s })
}

func (m *model) addDealer(name string, incarnation uint64) pool.Router {
	id := router(name, incarnation)
	m.dealers[id] = NewDealer(id, m.options)
	m.stepDealer(id, TargetsChanged{m.targets})
	return id
}

// point makes holders report to a dealer.
func (m *model) point(dealer pool.Router, shards ...*modelShard) {
	for _, s := range shards {
		m.stepHolder(s, DealerChanged{dealer})
	}
}

func (m *model) stepHolder(s *modelShard, event HolderEvent) {
	for _, action := range s.holder.Step(m.now, event) {
		switch a := action.(type) {
		case SlotsChanged:
			s.changed = true
			s.slots, s.yield, s.yielded = a.Slots, a.Yield, map[config.ID]int{}
			for _, t := range m.targets {
				s.yieldFree(t)
			}
		case Report:
			m.send(modelMessage{dealer: a.Dealer, report: &a})
		}
	}
}

func (m *model) stepDealer(id pool.Router, event DealerEvent) {
	d := m.dealers[id]
	if d == nil {
		return
	}
	for _, a := range d.Step(m.now, event) {
		m.send(modelMessage{answer: &a})
	}
}

func (m *model) send(message modelMessage) {
	copies := 1
	if m.rng.Float64() < m.double {
		copies = 2
	}
	for range copies {
		if m.rng.Float64() < m.loss {
			continue
		}
		message.at = m.now.Add(time.Duration(m.rng.Int64N(int64(m.delay) + 1)))
		m.queue = append(m.queue, message)
	}
}

func (m *model) deliver() {
	var due []modelMessage
	m.queue = slices.DeleteFunc(m.queue, func(message modelMessage) bool {
		if message.at.After(m.now) {
			return false
		}
		due = append(due, message)
		return true
	})
	for _, message := range due {
		if message.report != nil {
			m.stepDealer(message.dealer, *message.report)
			continue
		}
		for _, s := range m.shards {
			m.stepHolder(s, *message.answer)
		}
	}
}

// run lets time pass. Requests take end, on average, and demand is kept.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelTick)
		m.deliver()
		for _, s := range m.shards {
			m.work(s)
			if !s.changed && m.rng.IntN(2) == 0 {
				m.stepHolder(s, Tick{})
				continue
			}
			s.changed = false
			usage := pool.Usage{Backlogs: []pool.Backlog{s.backlog}, Busy: maps.Clone(s.busy), Yielded: maps.Clone(s.yielded)}
			m.stepHolder(s, UsageChanged{usage})
		}
		m.endOrphans()
		for _, id := range slices.SortedFunc(maps.Keys(m.dealers), compareRouters) {
			m.stepDealer(id, Tick{})
		}
		m.check()
	}
}

func compareRouters(a, b pool.Router) int {
	return compareParties(&party{holder: a}, &party{holder: b})
}

// meanRequest is the mean time of a request in ticks.
const meanRequest = 10

func (m *model) work(s *modelShard) {
	running := 0
	for _, t := range m.targets {
		for range s.busy[t.ID] {
			if m.rng.IntN(meanRequest) == 0 {
				s.busy[t.ID]--
				s.yieldFree(t)
			}
		}
		running += s.busy[t.ID]
	}
	for _, t := range m.targets {
		for s.busy[t.ID] < s.slots[t.ID] && running < s.backlog.Need {
			s.busy[t.ID]++
			running++
		}
	}
}

// yieldFree gives free slots up as pool.Scheduler does.
func (s *modelShard) yieldFree(t pool.Target) {
	n := min(s.slots[t.ID]-s.busy[t.ID], s.yield[t.DataCentre])
	if n > 0 {
		s.yield[t.DataCentre] -= n
		s.yielded[t.ID] += n
		s.slots[t.ID] -= n
	}
}

func (m *model) endOrphans() {
	for _, shard := range slices.Sorted(maps.Keys(m.orphans)) {
		for _, t := range m.targets {
			if m.orphans[shard][t.ID] > 0 && m.rng.IntN(meanRequest) == 0 {
				m.orphans[shard][t.ID]--
			}
		}
	}
}

// check fails when a slot is held more often than limit.
func (m *model) check() {
	for _, t := range m.targets {
		held := 0
		for _, s := range m.shards {
			held += max(s.slots[t.ID], s.busy[t.ID])
		}
		for _, busy := range m.orphans {
			held += busy[t.ID]
		}
		if m.limit > 0 && held > m.limit*t.Slots {
			m.t.Fatalf("target %d with %d slots: %d held", t.ID, t.Slots, held)
		}
	}
}

// checkDealt fails unless each slot is held once and the shards have what a
// division by weight gives them, but for a slot.
func (m *model) checkDealt() {
	total := 0
	for _, t := range m.targets {
		held := 0
		for _, s := range m.shards {
			held += s.slots[t.ID]
		}
		if held != t.Slots {
			m.t.Fatalf("target %d with %d slots: %d dealt", t.ID, t.Slots, held)
		}
		total += t.Slots
	}
	for i, want := range m.fairSlots(total) {
		got := 0
		for _, n := range m.shards[i].slots {
			got += n
		}
		if float64(got) < min(want, float64(m.shards[i].backlog.Need))-1 {
			m.t.Fatalf("shard %d with %+v has %d slots of %d, fair are %.1f", i, m.shards[i].backlog, got, total, want)
		}
	}
}

// fairSlots returns the max-min division by share, found by raising the level
// in small steps.
func (m *model) fairSlots(total int) []float64 {
	const step = 0.01
	fair := make([]float64, len(m.shards))
	for level := step; ; level += step {
		sum, all := 0.0, 0.0
		next := make([]float64, len(m.shards))
		for i, s := range m.shards {
			next[i] = min(level*float64(s.backlog.Share), float64(s.backlog.Need))
			sum += next[i]
			all += float64(s.backlog.Need)
		}
		if sum > float64(total) {
			return fair
		}
		fair = next
		if sum >= all {
			return fair
		}
	}
}
