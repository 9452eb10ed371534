package measure

import (
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// segmentHeaderBytes is the size of the IPv4 and TCP headers with timestamps.
	segmentHeaderBytes = 52
	// drpcFrameBytes is the number of bytes that a drpc stream adds to a message.
	drpcFrameBytes = 5
)

// traffic counts what a router sends or receives.
type traffic struct {
	// payload is the number of bytes of the messages with their drpc frames, without
	// TCP and IP headers.
	payload    int
	segments   int
	heartbeats int
}

func (t traffic) plus(o traffic) traffic {
	return traffic{t.payload + o.payload, t.segments + o.segments, t.heartbeats + o.heartbeats}
}

// link is one direction of a stream between two routers. It merges messages as the
// coalescer of router/internal/peer does: a batch after a pause is sent at once, a later
// one when the window since the last batch is over.
type link[T proto.Message] struct {
	clock *clock
	// window is the least time between two batches.
	window time.Duration
	// newBatch returns an empty batch. deliver receives each batch at the other end.
	newBatch func() T
	deliver  func(T)
	// batch collects the messages that are not sent yet. pending is set while its flush
	// is scheduled.
	batch   T
	pending bool
	// lastSent is the time at which the last batch was sent.
	lastSent time.Duration
	// sender and receiver count the same batches, one for each end.
	sender, receiver *traffic
}

// newLink returns a link without pending messages.
func newLink[T proto.Message](c *clock, window time.Duration, newBatch func() T, deliver func(T)) *link[T] {
	return &link[T]{
		clock: c, window: window, newBatch: newBatch, deliver: deliver, batch: newBatch(),
		sender: &traffic{}, receiver: &traffic{},
	}
}

// add changes the batch that is sent next and schedules its flush.
func (l *link[T]) add(change func(T)) {
	change(l.batch)
	if l.pending {
		return
	}
	l.pending = true
	l.clock.after(l.lastSent+l.window-l.clock.now, l.flush)
}

// flush sends the batch and starts an empty one.
func (l *link[T]) flush() {
	batch := l.batch
	l.batch = l.newBatch()
	l.pending = false
	l.lastSent = l.clock.now
	l.count(proto.Size(batch), 1, 0)
	l.clock.after(linkLatency, func() { l.deliver(batch) })
}

// countHeartbeat counts a heartbeat, which is a drpc frame without payload.
func (l *link[T]) countHeartbeat() { l.count(0, 1, 1) }

// count adds messages to the traffic of both ends. Each segment carries one drpc frame.
func (l *link[T]) count(payload, segments, heartbeats int) {
	t := traffic{payload + segments*drpcFrameBytes, segments, heartbeats}
	*l.sender = l.sender.plus(t)
	*l.receiver = l.receiver.plus(t)
}
