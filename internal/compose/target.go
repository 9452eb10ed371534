package compose

import (
	"fmt"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	minService = 20 * time.Millisecond
	maxService = 600 * time.Millisecond
	// lateBy exceeds the time after which a router gives a target up.
	lateBy = firstByteTimeout + time.Second
	// restartTime is how long a crashed target is down.
	restartTime = time.Second
)

// Target executes requests and keeps a ledger of them.
type Target struct {
	w    *World
	id   config.ID
	name string
	zone string
	// Silent makes the target run requests and never answer; Late makes its
	// answers late.
	Silent, Late bool
	// Refusing makes it accept no connection.
	Refusing bool
	leaving  bool
	alive    bool
	running  []*attempt
}

// Execution is one run of a request at a target.
type Execution struct {
	call  *Call
	body  string
	begun time.Time
}

func newTarget(w *World, name, zone string) *Target {
	return &Target{w: w, id: config.IDOf(name), name: name, zone: zone, alive: true}
}

// Leave lists the target as leaving, or as live again.
func (t *Target) Leave(leaving bool) {
	t.leaving = leaving
	t.w.Platform.changed()
}

func (t *Target) instance() *v1.Instance {
	state := v1.InstanceState_LIVE
	if t.leaving {
		state = v1.InstanceState_LEAVING
	}
	return &v1.Instance{Name: t.name, Incarnation: 1, Zone: t.zone, IsTarget: true, State: state}
}

// accepts returns whether a zone can connect to the target.
func (t *Target) accepts(zone string) bool {
	return t.alive && !t.Refusing && t.w.connected(zone, t.zone)
}

// execute runs a request.
func (t *Target) execute(a *attempt) {
	if !t.accepts(a.r.zone) {
		return
	}
	op := a.call.op
	run := &Execution{call: a.call, begun: a.begun}
	run.body = fmt.Sprintf("%d run %d at %s", op.Number, len(t.w.runs[op])+1, t.name)
	t.w.checkRun(a, run)
	t.w.runs[op] = append(t.w.runs[op], run)
	t.w.Stats.Runs++
	t.running = append(t.running, a)
	service := minService + time.Duration(t.w.rng.Int64N(int64(maxService)))
	if t.Late {
		service += lateBy
	}
	silent := t.Silent
	t.w.after(nil, service, func() { t.complete(a, run, silent) })
}

// complete ends a run. The answer goes back unless the target has fallen
// silent; it may be doubled.
func (t *Target) complete(a *attempt, run *Execution, silent bool) {
	i := slices.Index(t.running, a)
	if i < 0 {
		return
	}
	if a.call.op.Poison {
		t.w.poisoned(a)
		t.Crash()
		return
	}
	t.running = slices.Delete(t.running, i, i+1)
	if silent {
		return
	}
	copies := 1 + t.w.rng.IntN(2)
	for range copies {
		t.reply(a, func() { a.answered(run.body) })
	}
}

// Crash ends the target's process; it is back soon.
func (t *Target) Crash() {
	if !t.alive {
		return
	}
	t.alive = false
	for _, a := range t.running {
		t.reply(a, a.reset)
	}
	t.running = nil
	t.w.after(nil, restartTime, func() { t.alive = true })
}

func (t *Target) reply(a *attempt, run func()) {
	t.w.after(a.r, t.w.delay(), func() {
		if t.w.connected(a.r.zone, t.zone) {
			run()
		}
	})
}
