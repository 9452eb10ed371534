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

// modelTick is the time between two steps of the model.
const modelTick = 50 * time.Millisecond

// model runs dealers and holders in virtual time, joined by a network that can lose, duplicate,
// delay and reorder messages.
type model struct {
	t       *rapid.T
	rng     *rand.Rand
	now     time.Time
	options Options
	targets []pool.Target
	dealers map[pool.Router]*Dealer
	shards  []*modelShard
	queue   []modelMessage
	// orphanBusy holds, by shard and target, the number of slots that requests of lost holders
	// still use.
	orphanBusy map[int]map[config.ID]int

	// loss and duplication are the probabilities that a message is lost or sent twice, delay is
	// the longest delay of a message.
	loss, duplication float64
	delay             time.Duration
	// maxHeld is how many times a slot may be held at the same time; zero allows any number.
	maxHeld int
}

// modelMessage is a message that arrives at a time: a report to a dealer, or an allotment to the
// holder that it names.
type modelMessage struct {
	at        time.Time
	dealer    pool.Router
	report    *Report
	allotment *Allotment
}

// modelShard is a holder with a model of its scheduler, which uses as many slots as it may.
type modelShard struct {
	holder  *Holder
	shard   int
	alive   bool
	slots   map[config.ID]int
	busy    map[config.ID]int
	yield   map[string]int
	yielded map[config.ID]int
	backlog pool.Backlog
	// changed is set between SlotsChanged and the next UsageChanged.
	changed bool
}

func newModel(t *rapid.T, shards, targets int) *model {
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		now: time.Unix(1_800_000_000, 0), options: Options{Shards: shards},
		dealers: map[pool.Router]*Dealer{}, orphanBusy: map[int]map[config.ID]int{}, maxHeld: 1,
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
	if orphans := m.orphanBusy[shard]; orphans != nil {
		s.busy = orphans
		delete(m.orphanBusy, shard)
	}
	s.backlog = pool.Backlog{Share: uint64(m.rng.IntN(9) + 1), Need: m.rng.IntN(60)}
	s.holder = NewHolder(router(fmt.Sprint("holder-", shard), incarnation), shard, m.options)
	m.shards = append(m.shards, s)
	m.stepHolder(s, TargetsChanged{m.targets})
	return s
}

// kill removes a holder. Its requests in flight go on.
func (m *model) kill(s *modelShard) {
	s.alive = false
	m.orphanBusy[s.shard] = s.busy
	m.shards = slices.DeleteFunc(m.shards, func(other *modelShard) bool { return other == s })
}

func (m *model) addDealer(name string, incarnation uint64) pool.Router {
	id := router(name, incarnation)
	m.dealers[id] = NewDealer(id, m.options)
	m.stepDealer(id, TargetsChanged{m.targets})
	return id
}

// setDealer makes holders report to a dealer.
func (m *model) setDealer(dealer pool.Router, shards ...*modelShard) {
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
		m.send(modelMessage{allotment: &a})
	}
}

func (m *model) send(message modelMessage) {
	copies := 1
	if m.rng.Float64() < m.duplication {
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
			m.stepHolder(s, *message.allotment)
		}
	}
}

// run advances the time by d. Requests end at random, and new ones start in free slots as long
// as a shard needs more.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelTick)
		m.deliver()
		for _, s := range m.shards {
			m.simulateRequests(s)
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
		m.checkHeld()
	}
}

func compareRouters(a, b pool.Router) int {
	return compareHolders(&holderState{holder: a}, &holderState{holder: b})
}

// meanRequestTicks is the mean duration of a request in ticks.
const meanRequestTicks = 10

// simulateRequests ends some of the requests of a shard and starts new ones.
func (m *model) simulateRequests(s *modelShard) {
	running := 0
	for _, t := range m.targets {
		for range s.busy[t.ID] {
			if m.rng.IntN(meanRequestTicks) == 0 {
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

// yieldFree gives up free slots that are to be yielded, as pool.Scheduler does.
func (s *modelShard) yieldFree(t pool.Target) {
	n := min(s.slots[t.ID]-s.busy[t.ID], s.yield[t.DataCentre])
	if n > 0 {
		s.yield[t.DataCentre] -= n
		s.yielded[t.ID] += n
		s.slots[t.ID] -= n
	}
}

func (m *model) endOrphans() {
	for _, shard := range slices.Sorted(maps.Keys(m.orphanBusy)) {
		for _, t := range m.targets {
			if m.orphanBusy[shard][t.ID] > 0 && m.rng.IntN(meanRequestTicks) == 0 {
				m.orphanBusy[shard][t.ID]--
			}
		}
	}
}

// checkHeld fails if the slots of a target are held more than maxHeld times.
func (m *model) checkHeld() {
	for _, t := range m.targets {
		held := 0
		for _, s := range m.shards {
			held += max(s.slots[t.ID], s.busy[t.ID])
		}
		for _, busy := range m.orphanBusy {
			held += busy[t.ID]
		}
		if m.maxHeld > 0 && held > m.maxHeld*t.Slots {
			m.t.Fatalf("target %d with %d slots: %d held", t.ID, t.Slots, held)
		}
	}
}

// checkDealt fails unless each slot is held exactly once, and each shard has the slots that a
// division by weight gives it, or at most one fewer.
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

// fairSlots returns the weighted max-min division of the slots. It raises the level of slots per
// share in small steps.
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
