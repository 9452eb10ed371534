package compose

import (
	"fmt"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// A run takes minService plus a random time below serviceJitter.
	minService    = 20 * time.Millisecond
	serviceJitter = 600 * time.Millisecond
	// lateDelay exceeds firstByteTimeout, so that the router gives an attempt up before a
	// late answer.
	lateDelay = firstByteTimeout + time.Second
	// restartTime is the time from the crash of a target until it accepts connections.
	restartTime = time.Second
)

// Target simulates a target: it runs requests and answers them.
type Target struct {
	sim  *Simulation
	id   config.ID
	name string
	zone string
	// Silent makes the target run requests without ever answering them. Late delays its
	// answers by lateDelay.
	Silent, Late bool
	// Refusing makes the target accept no connections.
	Refusing bool
	leaving  bool
	// alive is false from a crash to the restart.
	alive   bool
	running []*attempt
}

// TargetRun is one run of a request at a target. Its body is different for each run.
type TargetRun struct {
	call    *Call
	body    string
	begunAt time.Time
}

func newTarget(sim *Simulation, name, zone string) *Target {
	return &Target{sim: sim, id: config.IDOf(name), name: name, zone: zone, alive: true}
}

// SetLeaving sets whether the instance list shows the target as leaving or as live.
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

// accepts returns whether the target accepts a connection from a zone.
func (t *Target) accepts(zone string) bool {
	return t.alive && !t.Refusing && t.sim.connected(zone, t.zone)
}

// execute starts the run of a request that arrives, unless the connection fails.
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

// complete ends a run, unless a crash of the target has ended it already. A request with
// CrashesTargets crashes the target. Otherwise the target sends the answer, which may
// arrive twice, unless it was silent when the run began.
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

// Crash ends the target's process and resets its connections. The process is back after
// restartTime.
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

// sendToRouter runs a function in the process of the attempt's router after the delay of a
// message, if the network then connects the router and the target.
func (t *Target) sendToRouter(a *attempt, run func()) {
	t.sim.after(a.r, t.sim.delay(), func() {
		if t.sim.connected(a.r.zone, t.zone) {
			run()
		}
	})
}
