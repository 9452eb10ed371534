package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// place is the address of a target, at which one target follows another. It is safe
// for concurrent use.
type place struct {
	number  int
	run     *run
	service string
	address string
	relay   *relay

	mu     sync.Mutex
	boots  int
	target *standin.Target
	closed bool
}

func newPlace(number int, r *run) (*place, error) {
	p := &place{number: number, run: r, service: plainService, address: targetAddress(number)}
	if number%2 == 0 {
		p.service = streamService
	}
	var err error
	if p.relay, err = newRelay(p.address); err != nil {
		return nil, err
	}
	return p, p.start()
}

// start puts a new target with an ID of its own at the address.
func (p *place) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.boots++
	j := p.run.judge
	target := &standin.Target{
		ID: fmt.Sprintf("t%d-%d", p.number, p.boots), Service: p.service, OnStart: j.began, OnEnd: j.endedAt,
	}
	j.added(target.ID, p.number)
	if err := target.Start(p.address); err != nil {
		return err
	}
	p.target = target
	return p.register(standin.Ready)
}

// register publishes the target's state. The lock is held.
func (p *place) register(state string) error {
	return p.run.store.PutTarget(standin.Registration{
		ID: p.target.ID, Service: p.service, Address: p.relay.address(), Zone: fmt.Sprintf("z%d", p.number%zones),
		Slots: targetSlots, State: state, Sequence: uint64(p.boots), Born: time.Now().UnixMilli(),
	})
}

const (
	targetSlots = 64
	// leaveTime is how long a target serves after its leaving is published: drainTime
	// and a little longer.
	leaveTime = drainTime + 3*time.Second
	// lapseTime is when a crashed target's registration lapses.
	lapseTime = time.Second
)

// inject plays one fault to its end.
func (p *place) inject(f Fault) error {
	target := p.current()
	switch f.Kind {
	case TargetCrash:
		return p.crash(target, f.For)
	case TargetDrain:
		return p.drain()
	case TargetDelay:
		during(p.relay, delay, f.For)
	case TargetCut:
		during(p.relay, cutBack, f.For)
	case TargetSilence:
		during(p.relay, silence, f.For)
	case TargetReset:
		p.relay.reset()
	default:
		if target == nil {
			return nil
		}
		target.SetFault(answerFaults[f.Kind])
		time.Sleep(f.For)
		target.SetFault(standin.NoFault)
	}
	return nil
}

var answerFaults = map[Kind]standin.Fault{
	TargetFull: standin.Full, TargetSlow: standin.Slow, TargetBreak: standin.Truncating,
	TargetExtra: standin.OtherRequestID, TargetFail: standin.Failing,
}

// take removes a target from its place. It returns false if another fault has done so.
func (p *place) take(target *standin.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target == nil || p.target != target {
		return false
	}
	p.target = nil
	return true
}

func (p *place) current() *standin.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// crash ends the target; another one takes its place after a while.
func (p *place) crash(target *standin.Target, after time.Duration) error {
	if !p.take(target) {
		return nil
	}
	if err := target.Crash(); err != nil {
		return err
	}
	time.Sleep(lapseTime)
	p.run.store.DeleteTarget(target.ID)
	time.Sleep(after)
	return p.start()
}

// drain lets the target leave in the planned way.
func (p *place) drain() error {
	p.mu.Lock()
	if p.target == nil {
		p.mu.Unlock()
		return nil
	}
	p.boots++
	err := p.register(standin.Draining)
	target := p.target
	p.run.judge.leaving(target.ID)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(leaveTime)
	if !p.take(target) {
		return nil
	}
	p.run.store.DeleteTarget(target.ID)
	if err := target.Crash(); err != nil {
		return err
	}
	return p.start()
}

func (p *place) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	if target := p.current(); p.take(target) {
		// The listener may be closed already.
		_ = target.Crash()
	}
	p.relay.close()
}
