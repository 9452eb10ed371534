package compose

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	"github.com/chiveseam/chiveseam/requestkey"
)

const (
	minSteps = 10
	maxSteps = 60
	maxPause = 2 * time.Second
	// quietTime is more than any call or exchange takes.
	quietTime = 45 * time.Second
	floodSize = 2*MaxQueued + 4
	// answerTime is what most operations take.
	answerTime = time.Second
	// resentKeys is the number of operations with keys that are sent again at once.
	resentKeys = 4
	// maxStops leaves routers that serve.
	maxStops = 2
	// startTimeout is more than routers take to be ready.
	startTimeout = 5 * time.Second
	// maxTries is how often a caller sends an operation that fails again.
	maxTries = 8
)

// checks is the number of cases; the flag -rapid.checks overrides it.
const checks = "300"

func init() {
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic("compose: " + err.Error())
	}
}

// scenario draws failures and calls for a world.
type scenario struct {
	t   *rapid.T
	w   *World
	ops []*Operation
	// keyed are the operations with a key.
	keyed []*Operation
	stops int
	// healed is set when callers send nothing more.
	healed bool
	// kinds are the failures of the case.
	kinds []string
}

// Any failures, together or twice, leave the promises of the package in force.
func TestPromisesUnderAnyFailures(t *testing.T) {
	var total Stats
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(t)
		for range rapid.IntRange(minSteps, maxSteps).Draw(t, "steps") {
			s.step()
			s.run(time.Duration(rapid.IntRange(0, int(maxPause/time.Millisecond)).Draw(t, "ms")) * time.Millisecond)
		}
		s.heal()
		s.run(quietTime)
		s.w.Finish()
		s.verify()
		total.add(s.w.Stats)
	})
	t.Logf("%+v", total)
}

func (s *Stats) add(o Stats) {
	s.Calls += o.Calls
	s.Runs += o.Runs
	s.Served += o.Served
	s.Replayed += o.Replayed
	s.Forwards += o.Forwards
	s.Claims += o.Claims
	s.Retries += o.Retries
	s.Lost += o.Lost
	s.HandOvers += o.HandOvers
	s.Stops += o.Stops
	s.Grants += o.Grants
}

func newScenario(t *rapid.T) *scenario {
	routers := rapid.IntRange(3, 6).Draw(t, "routers")
	w := New(Options{
		Seed:    rapid.Uint64().Draw(t, "seed"),
		Routers: routers,
		Zones:   rapid.IntRange(2, min(4, routers)).Draw(t, "zones"),
		Targets: rapid.IntRange(2, 6).Draw(t, "targets"),
		Keys: requestkey.Options{
			Lifetime:     rapid.SampledFrom([]time.Duration{time.Minute, 3 * time.Minute}).Draw(t, "lifetime"),
			Right:        10 * time.Second,
			ClockError:   time.Second,
			StartReserve: 15 * time.Second,
		},
	})
	s := &scenario{t: t, w: w}
	s.drawKinds()
	s.run(startTimeout)
	return s
}

func (s *scenario) run(d time.Duration) {
	s.w.Run(d)
	s.verify()
}

func (s *scenario) verify() {
	if s.w.Violation != nil {
		s.t.Fatal(s.w.Violation)
	}
}

// kinds are the calls and the failures, with their repairs, that may be drawn.
var (
	calls = map[string]func(*scenario){
		"send": (*scenario).send, "resend": (*scenario).resend, "resend to all": (*scenario).resendToAll,
		"resend keyed": (*scenario).resendKeyed,
		"poison":       (*scenario).sendPoison, "flood": (*scenario).flood, "publish": (*scenario).publish,
	}
	failures = map[string][]func(*scenario){
		"crash":        {(*scenario).crash, (*scenario).restart},
		"pause":        {(*scenario).pause, (*scenario).resume},
		"cut":          {(*scenario).cut, (*scenario).healCut},
		"network":      {(*scenario).network},
		"platform":     {(*scenario).platform},
		"target crash": {(*scenario).crashTarget},
		"target":       {(*scenario).target},
		"leave":        {(*scenario).leave},
		"stop":         {(*scenario).stop, (*scenario).restart},
	}
)

// drawKinds draws the failures that happen in this case.
func (s *scenario) drawKinds() {
	names := slices.Sorted(maps.Keys(failures))
	s.kinds = rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, len(names), rapid.ID).Draw(s.t, "kinds")
}

// step draws a failure, a repair or calls.
func (s *scenario) step() {
	if len(s.kinds) == 0 || rapid.Bool().Draw(s.t, "call") {
		name := rapid.SampledFrom(slices.Sorted(maps.Keys(calls))).Draw(s.t, "calls")
		calls[name](s)
		return
	}
	either := failures[rapid.SampledFrom(s.kinds).Draw(s.t, "kind")]
	either[rapid.IntRange(0, len(either)-1).Draw(s.t, "which")](s)
}

func (s *scenario) router() *Router {
	return s.w.Routers[rapid.IntRange(0, len(s.w.Routers)-1).Draw(s.t, "router")]
}

func (s *scenario) aTarget() *Target {
	return s.w.Targets[rapid.IntRange(0, len(s.w.Targets)-1).Draw(s.t, "target")]
}

// operation draws an operation with a key of any kind or without.
func (s *scenario) operation(r *Router, workspace string) *Operation {
	op := &Operation{
		Number:     len(s.ops) + 1,
		Workspace:  workspace,
		Idempotent: rapid.IntRange(0, 3).Draw(s.t, "idempotent") == 0,
	}
	switch rapid.SampledFrom([]string{"none", "issued", "young", "chosen"}).Draw(s.t, "key") {
	case "issued":
		op.Key = r.Issue()
	case "young":
		op.Key = s.w.YoungKey()
	case "chosen":
		op.Key = s.w.ChosenKey()
	}
	s.ops = append(s.ops, op)
	if op.Key != "" {
		s.keyed = append(s.keyed, op)
	}
	return op
}

func (s *scenario) send() {
	r := s.router()
	op := s.operation(r, rapid.SampledFrom(workspaceNames[:]).Draw(s.t, "workspace"))
	s.w.Send(op, s.router())
}

func (s *scenario) sendPoison() {
	r := s.router()
	op := s.operation(r, workspaceNames[0])
	op.Poison = true
	s.insist(op, slices.Index(s.w.Routers, r), maxTries)
}

// insist sends an operation again whenever it ends, through the next router.
func (s *scenario) insist(op *Operation, router, tries int) {
	if tries == 0 || s.healed {
		return
	}
	s.w.SendThen(op, s.w.Routers[router%len(s.w.Routers)], func() { s.insist(op, router+1, tries-1) })
}

func (s *scenario) resend() {
	if len(s.ops) > 0 {
		op := rapid.SampledFrom(s.ops).Draw(s.t, "operation")
		s.w.Send(op, s.router())
	}
}

// resendKeyed sends operations with keys again, of which floods have none, so that
// answers are replayed beside those of other keys.
func (s *scenario) resendKeyed() {
	for range min(resentKeys, len(s.keyed)) {
		op := rapid.SampledFrom(s.keyed).Draw(s.t, "keyed")
		s.w.Send(op, s.router())
	}
}

func (s *scenario) resendToAll() {
	if len(s.ops) == 0 {
		return
	}
	op := s.ops[len(s.ops)-1-rapid.IntRange(0, min(3, len(s.ops)-1)).Draw(s.t, "back")]
	for _, r := range s.w.Routers {
		s.w.Send(op, r)
	}
}

func (s *scenario) flood() {
	r := s.router()
	for range floodSize {
		op := &Operation{Number: len(s.ops) + 1, Workspace: workspaceNames[1]}
		s.ops = append(s.ops, op)
		s.w.Send(op, r)
	}
}

func (s *scenario) publish() {
	s.w.Platform.Publish(rapid.IntRange(0, 3).Draw(s.t, "valid") > 0)
}

func (s *scenario) crash()   { s.router().Crash() }
func (s *scenario) restart() { s.router().Restart() }
func (s *scenario) pause()   { s.router().Pause() }
func (s *scenario) resume()  { s.router().Resume() }
func (s *scenario) healCut() { s.w.Cut(0) }

func (s *scenario) cut() {
	s.w.Cut(uint(rapid.IntRange(1, 7).Draw(s.t, "zones")))
}

func (s *scenario) network() {
	s.w.Loss = rapid.SampledFrom([]int{0, 5, 30}).Draw(s.t, "loss")
	s.w.Doubled = rapid.SampledFrom([]int{0, 20}).Draw(s.t, "doubled")
	s.w.Slow = rapid.Bool().Draw(s.t, "slow")
}

func (s *scenario) platform() {
	p := s.w.Platform
	p.ListLag = time.Duration(rapid.IntRange(0, 10).Draw(s.t, "lag")) * time.Second
	p.Down = rapid.Bool().Draw(s.t, "down")
	p.DownFor = map[string]bool{zoneName(rapid.IntRange(0, 3).Draw(s.t, "zone")): rapid.Bool().Draw(s.t, "down for")}
	if p.StaleSince = (time.Time{}); rapid.Bool().Draw(s.t, "stale") {
		p.StaleSince = s.w.Now().Add(-time.Duration(rapid.IntRange(0, 60).Draw(s.t, "stale by")) * time.Second)
	}
}

func (s *scenario) crashTarget() { s.aTarget().Crash() }

func (s *scenario) target() {
	t := s.aTarget()
	t.Silent = rapid.Bool().Draw(s.t, "silent")
	t.Late = rapid.Bool().Draw(s.t, "late")
	t.Refusing = rapid.Bool().Draw(s.t, "refusing")
}

func (s *scenario) leave() {
	s.aTarget().Leave(rapid.Bool().Draw(s.t, "leaving"))
}

// stop stops a router after operations that it may have keys of to hand over.
func (s *scenario) stop() {
	if s.stops == maxStops {
		return
	}
	s.stops++
	for range resentKeys {
		s.send()
	}
	s.run(answerTime)
	s.router().Stop()
}

// heal ends all failures.
func (s *scenario) heal() {
	s.healed = true
	s.w.Cut(0)
	s.w.Loss, s.w.Doubled, s.w.Slow = 0, 0, false
	s.w.Platform.Heal()
	for _, t := range s.w.Targets {
		t.Silent, t.Late, t.Refusing = false, false, false
	}
	for _, r := range s.w.Routers {
		r.Resume()
		r.Restart()
	}
}
