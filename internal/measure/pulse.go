package measure

import (
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Heartbeats as package peer sends them.
const (
	heartbeatInterval   = 500 * time.Millisecond
	idleHeartbeatFactor = 10
)

// silenceTracker is the silence of a stream as its entry sees it.
type silenceTracker struct {
	waiting      int
	waitingSince time.Duration
	lastHeard    time.Duration
}

// changeWaiting changes the number of demands that changeWaiting.
func (p *silenceTracker) changeWaiting(now time.Duration, change int) {
	if p.waiting == 0 && change > 0 {
		p.waitingSince = now
	}
	p.waiting += change
}

func (p *silenceTracker) heartbeatDue(now time.Duration) bool {
	if now-p.lastHeard >= idleHeartbeatFactor*heartbeatInterval {
		return true
	}
	return p.waiting > 0 && now-max(p.lastHeard, p.waitingSince) >= heartbeatInterval
}

// sendHeartbeat sends a heartbeat and its answer on a silent stream.
func (s *session) sendHeartbeat() {
	t := s.router.run
	t.after(heartbeatInterval, s.sendHeartbeat)
	if !s.silence.heartbeatDue(t.now) {
		return
	}
	s.up.countHeartbeat()
	s.down.countHeartbeat()
	s.silence.lastHeard = t.now
}

// replicateCounters counts what the holder of pool 0 sends to one successor:
// the counters that changed.
func (t *trafficRun) replicateCounters() {
	t.after(counterInterval, t.replicateCounters)
	p := t.pools[0]
	step := p.scheduler.CounterStep()
	message := &v1.PoolCounters{Pool: uint32(p.id)}
	for _, c := range p.scheduler.Counters() {
		if !c.Differs(t.replicated[c.Workspace], step) {
			continue
		}
		t.replicated[c.Workspace] = c
		message.Counters = append(message.Counters, &v1.Counter{Workspace: uint32(c.Workspace), Value: c.Value, Backlogged: c.Backlogged})
	}
	if len(message.Counters) > 0 {
		t.counterBytes += proto.Size(&v1.SchedulerBatch{Counters: []*v1.PoolCounters{message}}) + drpcFrameBytes
	}
}
