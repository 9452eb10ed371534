package measure

import (
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// segmentHeaderBytes is the size of the IPv4 and TCP headers with timestamps.
	segmentHeaderBytes = 52
	// drpcFrameBytes is what a drpc stream adds to a message.
	drpcFrameBytes = 5
)

// traffic counts what a node sends or receives.
type traffic struct {
	payload    int
	segments   int
	heartbeats int
}

func (t traffic) plus(o traffic) traffic {
	return traffic{t.payload + o.payload, t.segments + o.segments, t.heartbeats + o.heartbeats}
}

// link is one direction of a stream between two routers. It coalesces as
// package peer does: a batch after a pause goes at once, later ones wait for
// the window since the last.
type link[T proto.Message] struct {
	clock    *clock
	window   time.Duration
	newBatch func() T
	deliver  func(T)
	batch    T
	pending  bool
	lastSent time.Duration
	// sender and receiver are counted at both ends.
	sender, receiver *traffic
}

func newLink[T proto.Message](c *clock, window time.Duration, empty func() T, deliver func(T)) *link[T] {
	return &link[T]{
		clock: c, window: window, newBatch: empty, deliver: deliver, batch: empty(),
		sender: &traffic{}, receiver: &traffic{},
	}
}

// add changes the pending batch.
func (l *link[T]) add(change func(T)) {
	change(l.batch)
	if l.pending {
		return
	}
	l.pending = true
	l.clock.after(l.lastSent+l.window-l.clock.now, l.flush)
}

func (l *link[T]) flush() {
	batch := l.batch
	l.batch = l.newBatch()
	l.pending = false
	l.lastSent = l.clock.now
	l.count(proto.Size(batch), 1, 0)
	l.clock.after(linkLatency, func() { l.deliver(batch) })
}

// countHeartbeat counts a heartbeat.
func (l *link[T]) countHeartbeat() { l.count(0, 1, 1) }

func (l *link[T]) count(payload, segments, heartbeats int) {
	t := traffic{payload + segments*drpcFrameBytes, segments, heartbeats}
	*l.sender = l.sender.plus(t)
	*l.receiver = l.receiver.plus(t)
}
