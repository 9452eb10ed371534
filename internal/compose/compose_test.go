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
	// minSteps and maxSteps bound the steps of a case, maxPause the virtual time between
	// two steps.
	minSteps = 10
	maxSteps = 60
	maxPause = 2 * time.Second
	// settleTime exceeds the time of any call or exchange of messages.
	settleTime = 45 * time.Second
	// floodSize is the number of requests of a flood, more than the queue admits.
	floodSize = 2*MaxQueued + 4
	// answerTime exceeds the time of most operations.
	answerTime = time.Second
	// resendCount is the number of operations with keys that are sent again at once, and
	// of operations sent before a planned stop.
	resendCount = 4
	// maxStops bounds the planned stops of a case, so that routers remain that serve.
	maxStops = 2
	// readyTime is more than routers take to be ready.
	readyTime = 5 * time.Second
	// maxTries bounds the calls for an operation that crashes targets.
	maxTries = 8
)

// checks is the default number of cases. The flag -rapid.checks overrides it.
const checks = "300"

func init() {
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic("compose: " + err.Error())
	}
}

// scenario draws failures and calls for a simulation.
type scenario struct {
	t   *rapid.T
	sim *Simulation
	ops []*Operation
	// keyedOps holds the operations with a key.
	keyedOps []*Operation
	stops    int
	// healed is set when all failures have ended and callers send nothing more.
	healed bool
	// failureKinds holds the keys of failureActions from which the case draws.
	failureKinds []string
}

// TestPromisesUnderAnyFailures draws failures and calls and checks all guarantees meanwhile
// and after the failures have ended. It guards against faults that only show when several
// packages act together or when failures overlap.
func TestPromisesUnderAnyFailures(t *testing.T) {
	var total Stats
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(t)
		for range rapid.IntRange(minSteps, maxSteps).Draw(t, "steps") {
			s.step()
			s.run(time.Duration(rapid.IntRange(0, int(maxPause/time.Millisecond)).Draw(t, "ms")) * time.Millisecond)
		}
		s.heal()
		s.run(settleTime)
		s.sim.Finish()
		s.failOnViolation()
		total.add(s.sim.Stats)
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
	sim := New(Options{
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
	s := &scenario{t: t, sim: sim}
	s.drawFailureKinds()
	s.run(readyTime)
	return s
}

func (s *scenario) run(d time.Duration) {
	s.sim.Run(d)
	s.failOnViolation()
}

func (s *scenario) failOnViolation() {
	if s.sim.Violation != nil {
		s.t.Fatal(s.sim.Violation)
	}
}

// callActions and failureActions are the actions that a step may draw. Each kind of failure
// has the action that causes it and possibly one that ends it.
var (
	callActions = map[string]func(*scenario){
		"send": (*scenario).send, "resend": (*scenario).resend, "resend to all": (*scenario).resendToAll,
		"resend keyed": (*scenario).resendKeyed,
		"poison":       (*scenario).sendCrashing, "flood": (*scenario).flood, "publish": (*scenario).publish,
	}
	failureActions = map[string][]func(*scenario){
		"crash":        {(*scenario).crash, (*scenario).restart},
		"pause":        {(*scenario).pause, (*scenario).resume},
		"cut":          {(*scenario).partition, (*scenario).healPartition},
		"network":      {(*scenario).setNetworkFaults},
		"platform":     {(*scenario).setPlatformFaults},
		"target crash": {(*scenario).crashTarget},
		"target":       {(*scenario).setTargetFaults},
		"leave":        {(*scenario).setTargetLeaving},
		"stop":         {(*scenario).stop, (*scenario).restart},
	}
)

// drawFailureKinds draws the kinds of failures that may happen in this case.
func (s *scenario) drawFailureKinds() {
	names := slices.Sorted(maps.Keys(failureActions))
	s.failureKinds = rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, len(names), rapid.ID).Draw(s.t, "kinds")
}

// step draws and performs calls, a failure or the end of a failure.
func (s *scenario) step() {
	if len(s.failureKinds) == 0 || rapid.Bool().Draw(s.t, "call") {
		name := rapid.SampledFrom(slices.Sorted(maps.Keys(callActions))).Draw(s.t, "calls")
		callActions[name](s)
		return
	}
	actions := failureActions[rapid.SampledFrom(s.failureKinds).Draw(s.t, "kind")]
	actions[rapid.IntRange(0, len(actions)-1).Draw(s.t, "which")](s)
}

func (s *scenario) drawRouter() *Router {
	return s.sim.Routers[rapid.IntRange(0, len(s.sim.Routers)-1).Draw(s.t, "router")]
}

func (s *scenario) drawTarget() *Target {
	return s.sim.Targets[rapid.IntRange(0, len(s.sim.Targets)-1).Draw(s.t, "target")]
}

// newOperation draws an operation without a key or with a key of one of the three kinds. An
// issued key is issued by r; there is no key if r cannot issue one.
func (s *scenario) newOperation(r *Router, workspace string) *Operation {
	op := &Operation{
		Number:     len(s.ops) + 1,
		Workspace:  workspace,
		Idempotent: rapid.IntRange(0, 3).Draw(s.t, "idempotent") == 0,
	}
	switch rapid.SampledFrom([]string{"none", "issued", "young", "chosen"}).Draw(s.t, "key") {
	case "issued":
		op.Key = r.IssueKey()
	case "young":
		op.Key = s.sim.UUIDv7Key()
	case "chosen":
		op.Key = s.sim.OpaqueKey()
	}
	s.ops = append(s.ops, op)
	if op.Key != "" {
		s.keyedOps = append(s.keyedOps, op)
	}
	return op
}

func (s *scenario) send() {
	r := s.drawRouter()
	op := s.newOperation(r, rapid.SampledFrom(workspaceNames[:]).Draw(s.t, "workspace"))
	s.sim.Send(op, s.drawRouter())
}

func (s *scenario) sendCrashing() {
	r := s.drawRouter()
	op := s.newOperation(r, workspaceNames[0])
	op.CrashesTargets = true
	s.sendRepeatedly(op, slices.Index(s.sim.Routers, r), maxTries)
}

// sendRepeatedly sends an operation and, whenever a call ends, sends it again through the next
// router. There are tries calls at most.
func (s *scenario) sendRepeatedly(op *Operation, router, tries int) {
	if tries == 0 || s.healed {
		return
	}
	s.sim.SendThen(op, s.sim.Routers[router%len(s.sim.Routers)], func() { s.sendRepeatedly(op, router+1, tries-1) })
}

func (s *scenario) resend() {
	if len(s.ops) > 0 {
		op := rapid.SampledFrom(s.ops).Draw(s.t, "operation")
		s.sim.Send(op, s.drawRouter())
	}
}

// resendKeyed sends several operations with keys again at once, so that a router replays
// answers for several keys side by side. The resend action seldom picks them, because floods
// add many operations without keys.
func (s *scenario) resendKeyed() {
	for range min(resendCount, len(s.keyedOps)) {
		op := rapid.SampledFrom(s.keyedOps).Draw(s.t, "keyed")
		s.sim.Send(op, s.drawRouter())
	}
}

func (s *scenario) resendToAll() {
	if len(s.ops) == 0 {
		return
	}
	op := s.ops[len(s.ops)-1-rapid.IntRange(0, min(3, len(s.ops)-1)).Draw(s.t, "back")]
	for _, r := range s.sim.Routers {
		s.sim.Send(op, r)
	}
}

func (s *scenario) flood() {
	r := s.drawRouter()
	for range floodSize {
		op := &Operation{Number: len(s.ops) + 1, Workspace: workspaceNames[1]}
		s.ops = append(s.ops, op)
		s.sim.Send(op, r)
	}
}

func (s *scenario) publish() {
	s.sim.Platform.Publish(rapid.IntRange(0, 3).Draw(s.t, "valid") > 0)
}

func (s *scenario) crash()         { s.drawRouter().Crash() }
func (s *scenario) restart()       { s.drawRouter().Restart() }
func (s *scenario) pause()         { s.drawRouter().Pause() }
func (s *scenario) resume()        { s.drawRouter().Resume() }
func (s *scenario) healPartition() { s.sim.Partition(0) }

func (s *scenario) partition() {
	s.sim.Partition(uint(rapid.IntRange(1, 7).Draw(s.t, "zones")))
}

func (s *scenario) setNetworkFaults() {
	s.sim.LossPercent = rapid.SampledFrom([]int{0, 5, 30}).Draw(s.t, "loss")
	s.sim.DuplicatePercent = rapid.SampledFrom([]int{0, 20}).Draw(s.t, "doubled")
	s.sim.Slow = rapid.Bool().Draw(s.t, "slow")
}

func (s *scenario) setPlatformFaults() {
	p := s.sim.Platform
	p.ListLag = time.Duration(rapid.IntRange(0, 10).Draw(s.t, "lag")) * time.Second
	p.Down = rapid.Bool().Draw(s.t, "down")
	p.DownForZone = map[string]bool{zoneName(rapid.IntRange(0, 3).Draw(s.t, "zone")): rapid.Bool().Draw(s.t, "down for")}
	if p.StaleSince = (time.Time{}); rapid.Bool().Draw(s.t, "stale") {
		p.StaleSince = s.sim.Now().Add(-time.Duration(rapid.IntRange(0, 60).Draw(s.t, "stale by")) * time.Second)
	}
}

func (s *scenario) crashTarget() { s.drawTarget().Crash() }

func (s *scenario) setTargetFaults() {
	t := s.drawTarget()
	t.Silent = rapid.Bool().Draw(s.t, "silent")
	t.Late = rapid.Bool().Draw(s.t, "late")
	t.Refusing = rapid.Bool().Draw(s.t, "refusing")
}

func (s *scenario) setTargetLeaving() {
	s.drawTarget().SetLeaving(rapid.Bool().Draw(s.t, "leaving"))
}

// stop begins a planned stop of a router. Operations are sent first, so that the router may
// have keys to hand over.
func (s *scenario) stop() {
	if s.stops == maxStops {
		return
	}
	s.stops++
	for range resendCount {
		s.send()
	}
	s.run(answerTime)
	s.drawRouter().Stop()
}

// heal ends all failures and all sending of calls.
func (s *scenario) heal() {
	s.healed = true
	s.sim.Partition(0)
	s.sim.LossPercent, s.sim.DuplicatePercent, s.sim.Slow = 0, 0, false
	s.sim.Platform.Heal()
	for _, t := range s.sim.Targets {
		t.Silent, t.Late, t.Refusing = false, false, false
	}
	for _, r := range s.sim.Routers {
		r.Resume()
		r.Restart()
	}
}
