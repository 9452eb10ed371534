package measure

import (
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Heartbeats follow the rules of router/internal/peer.
const (
	// heartbeatInterval is the default of the setting peer-heartbeat-interval.
	heartbeatInterval = 500 * time.Millisecond
	// idleHeartbeatFactor multiplies the interval on a stream on which no demand waits. It
	// is the idleSilenceFactor of router/internal/peer.
	idleHeartbeatFactor = 10
)

// silenceTracker decides when the entry side of a stream sends a heartbeat.
type silenceTracker struct {
	// waiting is the number of demands that wait on the stream, and waitingSince the
	// time since which there are any.
	waiting      int
	waitingSince time.Duration
	// lastHeard is the time of the last batch or heartbeat from the scheduler.
	lastHeard time.Duration
}

// changeWaiting adds change to the number of waiting demands.
func (p *silenceTracker) changeWaiting(now time.Duration, change int) {
	if p.waiting == 0 && change > 0 {
		p.waitingSince = now
	}
	p.waiting += change
}

// heartbeatDue tells whether the scheduler has been silent for long enough.
func (p *silenceTracker) heartbeatDue(now time.Duration) bool {
	if now-p.lastHeard >= idleHeartbeatFactor*heartbeatInterval {
		return true
	}
	return p.waiting > 0 && now-max(p.lastHeard, p.waitingSince) >= heartbeatInterval
}

// sendHeartbeat counts a heartbeat and its answer if the stream is silent. It runs once in
// each heartbeat interval.
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

// replicateCounters adds up the bytes of the changed counters that the holder of pool 0
// sends to one successor. It runs once in each counter interval.
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
