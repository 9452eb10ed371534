package placement_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// world simulates routers and model engines in virtual time. An engine processes its queued
// prompts one after the other at its speed, caches all of them, and holds a slot for
// answerDuration after the first token.
type world struct {
	now     time.Time
	random  *rand.Rand
	routers []*placement.Balancer
	engines []*engine
	// sequences holds the sequence number of each router's last report.
	sequences []uint64
	// incarnations counts the starts of each router.
	incarnations []uint64
	// reportLoss is the share of reports that are lost, and reportEvery the time between two
	// reports of a router.
	reportLoss  float64
	reportEvery time.Duration
	// staggered routers report one after the other within reportEvery.
	staggered bool
	// reports counts the reports, and paceBytes the bytes of the paces in them.
	reports, paceBytes int
	// objective is the time to the first token above which an answer is late, and answerTime the time
	// for which a request holds a slot of an engine after that.
	objective, answerTime time.Duration
	// isolated routers neither send nor receive reports.
	isolated map[int]bool

	workspaces map[string]*workspaceCounts
	// streams send requests at each tick.
	streams []func()
	// readTokens is the number of prompt tokens that engines had to process, rereadTokens
	// that of shared parts among them that some engine had processed before. readParts
	// holds the parts that any engine has processed.
	readTokens   int
	rereadTokens int
	readParts    map[uint64]bool
	// settings are those of the service's engines, weighing is the option PrefixWeighing, and maxOutput
	// the number of tokens that each request generates.
	settings  routing.Engine
	weighing  bool
	maxOutput int
	// memory sums up what engines with a memory did.
	memory *memoryCounts
}

// workspaceCounts counts the requests of a workspace: asked is all, overShare those among the
// refused ones that failed with ErrOverShare.
type workspaceCounts struct {
	asked, inTime, late, refused, overShare int
	// latency is the sum of the times to the first token.
	latency time.Duration
}

type engine struct {
	id string
	// speed is in prompt tokens per millisecond.
	speed   float64
	slots   int
	cached  map[uint64]bool
	queue   []*job
	running []*job
	// memory is the engine's memory; nil if it is unlimited.
	memory *engineMemory
	// limit returns the rate limit that the engine names in its answers; nil if it never has one.
	// answered is called for each answer, with the balancer that it goes to.
	limit    func() float64
	answered func(b *placement.Balancer)
	// paces draws the pace of the machine; it may be nil. work is the time in ms that a request takes at
	// a target of a plain service; 0 for model engines. See pace_test.go.
	paces *paces
	work  float64
}

// job is a request at an engine. ends is the end of its answer, known from the first token on.
type job struct {
	workspace string
	balancer  *placement.Balancer
	ticket    *placement.Ticket
	parts     []placement.Part
	unread    float64
	arrived   time.Time
	ends      time.Time
	memoryJob
}

const (
	tick           = 5 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	wanted         = 800 * time.Millisecond
	answerDuration = 2 * time.Second
	serviceName    = "llm"
	fetchPerToken  = 2 * time.Microsecond
)

// newWorld returns a world with an engine of 64 slots for each speed.
func newWorld(seed uint64, routers int, tokensPerSecond float64, speeds ...float64) *world {
	return newWorldWithSlots(seed, routers, 64, tokensPerSecond, speeds...)
}

func newWorldWithSlots(seed uint64, routers, slots int, tokensPerSecond float64, speeds ...float64) *world {
	w := &world{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), isolated: map[int]bool{},
		workspaces: map[string]*workspaceCounts{}, readParts: map[uint64]bool{}, sequences: make([]uint64, routers), incarnations: slices.Repeat([]uint64{1}, routers),
		reportEvery: reportInterval, objective: wanted, answerTime: answerDuration, maxOutput: 100,
		settings: routing.Engine{Slots: slots, KVCacheTokens: 600_000, FetchTimePerToken: fetchPerToken},
	}
	for i, speed := range speeds {
		w.engines = append(w.engines, &engine{id: fmt.Sprintf("e%d", i), speed: speed, slots: slots, cached: map[uint64]bool{}})
	}
	for i := range routers {
		w.routers = append(w.routers, w.newBalancer(i, tokensPerSecond))
	}
	return w
}

// newBalancer returns the view of router i, without any load.
func (w *world) newBalancer(i int, tokensPerSecond float64) *placement.Balancer {
	b := placement.New(placement.Options{
		Router: fmt.Sprintf("r%d", i), ShareWindow: 4 * time.Second, PeerTimeout: 3 * time.Second, PrefixWeighing: w.weighing,
	})
	b.SetServices(map[string]routing.Service{
		serviceName: {Name: serviceName, Engine: &w.settings},
	}, tokensPerSecond)
	for _, e := range w.engines {
		b.SetTarget(routing.Target{ID: e.id, Service: serviceName, Slots: e.slots})
	}
	return b
}

// run advances the time by d. At every tick it calls each, which may send requests.
func (w *world) run(d time.Duration, each func()) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(tick)
		each()
		for _, e := range w.engines {
			if e.work > 0 {
				w.stepPlain(e)
				continue
			}
			w.stepEngine(e)
		}
		if !w.staggered && w.now.UnixNano()%int64(w.reportEvery) == 0 {
			w.exchangeReports()
		}
		for i := range w.routers {
			if w.staggered && (i+int(w.now.UnixNano()/int64(tick)))%int(w.reportEvery/tick) == 0 {
				w.sendReport(i)
			}
		}
	}
}

// stepEngine processes prompts for one tick and ends the answers that are complete.
func (w *world) stepEngine(e *engine) {
	if e.memory != nil {
		w.stepMemory(e)
		return
	}
	budget := e.speed * float64(tick/time.Millisecond) / e.paces.at(w.now)
	for len(e.queue) > 0 && len(e.running) < e.slots && budget > 0 {
		j := e.queue[0]
		done := min(budget, j.unread)
		budget -= done
		j.unread -= done
		if j.unread > 0 {
			break
		}
		e.queue = e.queue[1:]
		w.firstToken(e, j)
		e.running = append(e.running, j)
	}
	unfinished := e.running[:0]
	for _, j := range e.running {
		if w.now.Before(j.ends) {
			unfinished = append(unfinished, j)
			continue
		}
		j.balancer.End(w.now, j.ticket, placement.Succeeded)
	}
	e.running = unfinished
}

// firstToken records that an engine has processed a prompt and sends the first token.
func (w *world) firstToken(e *engine, j *job) {
	e.paces.state(w.now, e, j.balancer)
	j.balancer.FirstToken(w.now, j.ticket)
	if e.limit != nil {
		j.balancer.SetRateLimit(w.now, routing.Target{ID: e.id}, e.limit())
		e.answered(j.balancer)
	}
	j.ends = w.now.Add(w.answerTime)
	t := w.workspaces[j.workspace]
	t.latency += w.now.Sub(j.arrived)
	if w.now.Sub(j.arrived) <= w.objective {
		t.inTime++
		return
	}
	t.late++
}

// restart replaces a router by one that knows nothing.
func (w *world) restart(i int) {
	w.routers[i] = w.newBalancer(i, 0)
	w.incarnations[i]++
	w.sequences[i] = 0
}

// routerOf returns the number of the router with a balancer, -1 if it has restarted since.
func (w *world) routerOf(b *placement.Balancer) int { return slices.Index(w.routers, b) }

// exchangeReports sends one report of each router to all others.
func (w *world) exchangeReports() {
	for i := range w.routers {
		w.sendReport(i)
	}
	for _, b := range w.routers {
		b.RemoveSilentRouters(w.now)
	}
}

// sendReport sends one report of a router to all others.
func (w *world) sendReport(i int) {
	w.sequences[i]++
	r := &v1.LoadReport{Router: fmt.Sprintf("r%d", i), Incarnation: w.incarnations[i], Sequence: w.sequences[i]}
	w.routers[i].FillReport(w.now, r)
	w.reports++
	w.paceBytes += proto.Size(&v1.LoadReport{States: r.States})
	for k, to := range w.routers {
		if k == i || w.isolated[i] || w.isolated[k] || w.random.Float64() < w.reportLoss {
			continue
		}
		to.MergeReport(w.now, r)
	}
}

// sendRequest lets a router place a request of a workspace. sharedID is the ID of the prompt
// part that many requests have in common; the second part is unique to the request.
func (w *world) sendRequest(router int, workspace string, sharedID uint64, sharedTokens, ownTokens int) (placement.Choice, error) {
	b := w.routers[router]
	t, ok := w.workspaces[workspace]
	if !ok {
		t = &workspaceCounts{}
		w.workspaces[workspace] = t
	}
	t.asked++
	d := placement.Demand{
		Service: serviceName, Workspace: workspace, LatencyObjective: wanted, Remaining: 10 * time.Second, MaxOutputTokens: w.maxOutput,
		Parts: []placement.Part{{ID: sharedID, Tokens: sharedTokens}, {ID: w.random.Uint64(), Tokens: ownTokens}},
	}
	err := b.Admit(w.now, &d)
	var choice placement.Choice
	if err == nil {
		choice, err = b.Choose(w.now, &d)
	}
	if err != nil {
		t.refused++
		if errors.Is(err, placement.ErrOverShare) {
			t.overShare++
		}
		return choice, err
	}
	w.startRequest(b, workspace, &d, choice)
	return choice, nil
}

// startRequest queues a placed request at its engine. Prompt parts that the engine or the
// donor has in its cache need no processing.
func (w *world) startRequest(b *placement.Balancer, workspace string, d *placement.Demand, c placement.Choice) {
	e := w.engine(c.Target)
	if e.memory != nil {
		e.queue = append(e.queue, &job{
			workspace: workspace, balancer: b, ticket: b.Begin(w.now, d, c), parts: d.Parts, arrived: w.now,
			memoryJob: memoryJob{donor: w.engine(c.Donor), output: d.MaxOutputTokens},
		})
		return
	}
	unread := d.PromptTokens()
	if e.work > 0 {
		unread = int(e.work)
	}
	donor := w.engine(c.Donor)
	for _, p := range d.Parts {
		if !e.cached[p.ID] && (donor == nil || !donor.cached[p.ID]) {
			break
		}
		unread -= p.Tokens
	}
	for i, p := range d.Parts {
		if i == 0 && unread > d.Parts[1].Tokens && w.readParts[p.ID] {
			w.rereadTokens += p.Tokens
		}
		e.cached[p.ID] = true
		w.readParts[p.ID] = true
	}
	w.readTokens += unread
	e.queue = append(e.queue, &job{
		workspace: workspace, balancer: b, ticket: b.Begin(w.now, d, c), parts: d.Parts, unread: float64(unread), arrived: w.now,
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

// poisson draws whether an event with a rate per second happens in this tick.
func (w *world) poisson(perSecond float64) bool {
	return w.random.Float64() < perSecond*tick.Seconds()
}

func (w *world) anyRouter() int { return w.random.IntN(len(w.routers)) }

// addLoad adds a stream that sends the requests of a load. The IDs of its shared prompt parts
// start at firstID. results holds the outcome of the requests by the second of their arrival.
func (w *world) addLoad(l load, firstID uint64, results []secondResult) {
	start := w.now
	w.streams = append(w.streams, func() {
		since := w.now.Sub(start)
		if !w.poisson(l.rate * l.rateFactor(since)) {
			return
		}
		s := &results[min(int(since/time.Second), len(results)-1)]
		tokens := float64(l.shared + l.own + 200)
		s.asked += tokens
		choice, err := w.sendRequest(l.pickRouter(w), l.name, firstID+uint64(w.random.IntN(l.prompts)), l.shared, l.own)
		if err != nil {
			s.refusedOrLate = true
			return
		}
		s.begun += tokens
		s.refusedOrLate = s.refusedOrLate || choice.Predicted > wanted
	})
}

// sendStreams lets all streams send their requests of one tick.
func (w *world) sendStreams() {
	for _, send := range w.streams {
		send()
	}
}
