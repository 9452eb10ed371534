package compose

import (
	"fmt"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	minService    = 20 * time.Millisecond
	serviceJitter = 600 * time.Millisecond
	// lateDelay exceeds the time after which a router gives a target up.
	lateDelay = firstByteTimeout + time.Second
	// restartTime is how long a crashed target is down.
	restartTime = time.Second
)

// Target executes requests and keeps a ledger of them.
type Target struct {
	sim  *Simulation
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

// TargetRun is one run of a request at a target.
type TargetRun struct {
	call    *Call
	body    string
	begunAt time.Time
}

func newTarget(sim *Simulation, name, zone string) *Target {
	return &Target{sim: sim, id: config.IDOf(name), name: name, zone: zone, alive: true}
}

// SetLeaving lists the target as leaving, or as live again.
func (t *Target) SetLeaving(leaving bool) {
	t.leaving = leaving
	t.sim.Platform.instancesChanged()
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
	return t.alive && !t.Refusing && t.sim.connected(zone, t.zone)
}

// execute runs a request.
func (t *Target) execute(a *attempt) {
	if !t.accepts(a.r.zone) {
		return
	}
	op := a.call.op
	run := &TargetRun{call: a.call, begunAt: a.begunAt}
	run.body = fmt.Sprintf("%d run %d at %s", op.Number, len(t.sim.runs[op])+1, t.name)
	t.sim.checkRun(a, run)
	t.sim.runs[op] = append(t.sim.runs[op], run)
	t.sim.Stats.Runs++
	t.running = append(t.running, a)
	service := minService + time.Duration(t.sim.rng.Int64N(int64(serviceJitter)))
	if t.Late {
		service += lateDelay
	}
	silent := t.Silent
	t.sim.after(nil, service, func() { t.complete(a, run, silent) })
}

// complete ends a run. The answer goes back unless the target has fallen
// silent; it may be doubled.
func (t *Target) complete(a *attempt, run *TargetRun, silent bool) {
	i := slices.Index(t.running, a)
	if i < 0 {
		return
	}
	if a.call.op.CrashesTargets {
		t.sim.recordTargetCrash(a)
		t.Crash()
		return
	}
	t.running = slices.Delete(t.running, i, i+1)
	if silent {
		return
	}
	copies := 1 + t.sim.rng.IntN(2)
	for range copies {
		t.sendToRouter(a, func() { a.receiveAnswer(run.body) })
	}
}

// Crash ends the target's process; it is back soon.
func (t *Target) Crash() {
	if !t.alive {
		return
	}
	t.alive = false
	for _, a := range t.running {
		t.sendToRouter(a, a.connectionLost)
	}
	t.running = nil
	t.sim.after(nil, restartTime, func() { t.alive = true })
}

func (t *Target) sendToRouter(a *attempt, run func()) {
	t.sim.after(a.r, t.sim.delay(), func() {
		if t.sim.connected(a.r.zone, t.zone) {
			run()
		}
	})
}
