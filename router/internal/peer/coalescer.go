package peer

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// coalescer merges the batches that are added while an earlier batch is being sent
// or the interval has not passed, so that several messages share one write. add is
// safe for concurrent use; run is called once.
type coalescer[T proto.Message] struct {
	// interval is the least time between two batches.
	interval time.Duration
	newBatch func() T

	// mu guards pending and hasPending. pending is the merged batch that is sent
	// next, and hasPending tells whether any batch was added to it.
	mu         sync.Mutex
	pending    T
	hasPending bool
	// ready holds a value when run has a batch to send.
	ready chan struct{}
}

func newCoalescer[T proto.Message](interval time.Duration, newBatch func() T) *coalescer[T] {
	return &coalescer[T]{
		interval: interval,
		newBatch: newBatch,
		pending:  newBatch(),
		ready:    make(chan struct{}, 1),
	}
}

// add queues a batch for sending. The caller must not use the batch afterwards.
func (c *coalescer[T]) add(batch T) {
	c.mu.Lock()
	if c.hasPending {
		proto.Merge(c.pending, batch)
	} else {
		c.pending = batch
		c.hasPending = true
	}
	c.mu.Unlock()
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// take removes the pending batch and returns it, and whether any batch was added
// to it.
func (c *coalescer[T]) take() (T, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch, hasPending := c.pending, c.hasPending
	c.pending = c.newBatch()
	c.hasPending = false
	return batch, hasPending
}

// run calls send with the pending batch until send fails, whose error it returns, or
// done is closed. It sends a batch at once if the interval has passed since the
// last one, and otherwise waits for the rest of the interval.
func (c *coalescer[T]) run(done <-chan struct{}, send func(T) error) error {
	var last time.Time
	for {
		select {
		case <-c.ready:
			if wait := c.interval - time.Since(last); wait > 0 {
				time.Sleep(wait)
			}
		case <-done:
			return nil
		}
		batch, _ := c.take()
		if err := send(batch); err != nil {
			return err
		}
		last = time.Now()
	}
}
