package placement_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// world runs routers and engines in virtual time. Engines read prompts one after
// the other at a rate, keep what they have read, and hold a slot for the time of
// the answer.
type world struct {
	now     time.Time
	random  *rand.Rand
	routers []*placement.Book
	engines []*engine
	reports []uint64
	// loss is the part of reports that is lost, and interval the time between two of a
	// router.
	loss     float64
	interval time.Duration
	// cut routers neither send nor receive reports.
	cut map[int]bool

	tenants map[string]*tally
	// streams send requests at each tick.
	streams []func()
	read    int
	again   int
	seen    map[uint64]bool
}

// tally counts what became of a tenant's requests.
type tally struct {
	asked, inTime, late, refused, overShare int
}

type engine struct {
	id string
	// speed is in tokens a millisecond.
	speed   float64
	slots   int
	kept    map[uint64]bool
	queue   []*job
	running []*job
}

type job struct {
	tenant  string
	book    *placement.Book
	ticket  *placement.Ticket
	parts   []placement.Part
	unread  float64
	arrived time.Time
	ends    time.Time
}

const (
	tick           = 5 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	wanted         = 800 * time.Millisecond
	answerTime     = 2 * time.Second
	serviceName    = "llm"
	fetchPerToken  = 2 * time.Microsecond
)

func newWorld(seed uint64, routers int, tokensPerSecond float64, speeds ...float64) *world {
	return newWorldOf(seed, routers, 64, tokensPerSecond, speeds...)
}

func newWorldOf(seed uint64, routers, slots int, tokensPerSecond float64, speeds ...float64) *world {
	w := &world{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), cut: map[int]bool{},
		tenants: map[string]*tally{}, seen: map[uint64]bool{}, reports: make([]uint64, routers),
		interval: reportInterval,
	}
	for i, speed := range speeds {
		w.engines = append(w.engines, &engine{id: fmt.Sprintf("e%d", i), speed: speed, slots: slots, kept: map[uint64]bool{}})
	}
	for i := range routers {
		w.routers = append(w.routers, w.newBook(i, tokensPerSecond))
	}
	return w
}

func (w *world) newBook(i int, tokensPerSecond float64) *placement.Book {
	b := placement.New(placement.Options{
		Router: fmt.Sprintf("r%d", i), ShareWindow: 4 * time.Second, PeerTimeout: 3 * time.Second,
	})
	b.SetServices(map[string]routing.Service{
		serviceName: {Name: serviceName, Engine: &routing.Engine{Slots: w.engines[0].slots, KVCacheTokens: 600_000, FetchTimePerToken: fetchPerToken}},
	}, tokensPerSecond)
	for _, e := range w.engines {
		b.SetTarget(routing.Target{ID: e.id, Service: serviceName, Slots: e.slots})
	}
	return b
}

// run advances the world by d and calls each at every tick.
func (w *world) run(d time.Duration, each func()) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(tick)
		each()
		for _, e := range w.engines {
			w.step(e)
		}
		if w.now.UnixNano()%int64(w.interval) == 0 {
			w.exchange()
		}
	}
}

// step reads prompts for one tick and ends answers.
func (w *world) step(e *engine) {
	budget := e.speed * float64(tick/time.Millisecond)
	for len(e.queue) > 0 && len(e.running) < e.slots && budget > 0 {
		j := e.queue[0]
		done := min(budget, j.unread)
		budget -= done
		j.unread -= done
		if j.unread > 0 {
			break
		}
		e.queue = e.queue[1:]
		w.first(j)
		e.running = append(e.running, j)
	}
	kept := e.running[:0]
	for _, j := range e.running {
		if w.now.Before(j.ends) {
			kept = append(kept, j)
			continue
		}
		j.book.End(w.now, j.ticket, placement.Succeeded)
	}
	e.running = kept
}

func (w *world) first(j *job) {
	j.book.First(w.now, j.ticket)
	j.ends = w.now.Add(answerTime)
	t := w.tenants[j.tenant]
	if w.now.Sub(j.arrived) <= wanted {
		t.inTime++
		return
	}
	t.late++
}

func (w *world) exchange() {
	for i, from := range w.routers {
		w.reports[i]++
		r := &v1.LoadReport{Router: fmt.Sprintf("r%d", i), Incarnation: 1, Sequence: w.reports[i]}
		from.Report(w.now, r)
		for k, to := range w.routers {
			if k == i || w.cut[i] || w.cut[k] || w.random.Float64() < w.loss {
				continue
			}
			to.Merge(w.now, r)
		}
	}
	for _, b := range w.routers {
		b.Expire(w.now)
	}
}

// send asks a router to place a request of a tenant. shared names the prompt that
// many requests have in common; the rest is the request's own.
func (w *world) send(router int, tenant string, shared uint64, sharedTokens, ownTokens int) (placement.Choice, error) {
	b := w.routers[router]
	t, ok := w.tenants[tenant]
	if !ok {
		t = &tally{}
		w.tenants[tenant] = t
	}
	t.asked++
	d := placement.Demand{
		Service: serviceName, Workspace: tenant, Want: wanted, Left: 10 * time.Second, Output: 100,
		Parts: []placement.Part{{ID: shared, Tokens: sharedTokens}, {ID: w.random.Uint64(), Tokens: ownTokens}},
	}
	b.Asked(w.now, &d)
	choice, err := b.Choose(w.now, &d)
	if err != nil {
		t.refused++
		if errors.Is(err, placement.ErrOverShare) {
			t.overShare++
		}
		return choice, err
	}
	w.start(b, tenant, &d, choice)
	return choice, nil
}

func (w *world) start(b *placement.Book, tenant string, d *placement.Demand, c placement.Choice) {
	e := w.engine(c.Target)
	unread := d.Prompt()
	donor := w.engine(c.Donor)
	for _, p := range d.Parts {
		if !e.kept[p.ID] && (donor == nil || !donor.kept[p.ID]) {
			break
		}
		unread -= p.Tokens
	}
	for i, p := range d.Parts {
		if i == 0 && unread > d.Parts[1].Tokens && w.seen[p.ID] {
			w.again += p.Tokens
		}
		e.kept[p.ID] = true
		w.seen[p.ID] = true
	}
	w.read += unread
	e.queue = append(e.queue, &job{
		tenant: tenant, book: b, ticket: b.Begin(w.now, d, c), parts: d.Parts, unread: float64(unread), arrived: w.now,
	})
}

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// poisson reports whether an event of a rate a second falls into this tick.
func (w *world) poisson(perSecond float64) bool {
	return w.random.Float64() < perSecond*tick.Seconds()
}

func (w *world) anyRouter() int { return w.random.IntN(len(w.routers)) }

// prompts adds a load whose shared prompts are numbered from first, and records what
// becomes of its requests by the second in which they come.
func (w *world) prompts(l load, first uint64, got []second) {
	start := w.now
	w.streams = append(w.streams, func() {
		since := w.now.Sub(start)
		if !w.poisson(l.rate * l.factor(since)) {
			return
		}
		s := &got[min(int(since/time.Second), len(got)-1)]
		tokens := float64(l.shared + l.own + 200)
		s.asked += tokens
		choice, err := w.send(l.router(w), l.name, first+uint64(w.random.IntN(l.prompts)), l.shared, l.own)
		if err != nil {
			s.waited = true
			return
		}
		s.begun += tokens
		s.waited = s.waited || choice.Predicted > wanted
	})
}

// sendAll sends the requests of all streams for one tick.
func (w *world) sendAll() {
	for _, send := range w.streams {
		send()
	}
}
