package peer

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// coalescer merges batches while an earlier one is being written, so that
// messages share writes. Add is safe for concurrent use; run is one duty.
type coalescer[T proto.Message] struct {
	interval time.Duration
	newBatch func() T

	mu      sync.Mutex
	pending T
	filled  bool
	ready   chan struct{}
}

func newCoalescer[T proto.Message](interval time.Duration, newBatch func() T) *coalescer[T] {
	return &coalescer[T]{
		interval: interval,
		newBatch: newBatch,
		pending:  newBatch(),
		ready:    make(chan struct{}, 1),
	}
}

// add takes the batch over.
func (c *coalescer[T]) add(batch T) {
	c.mu.Lock()
	if c.filled {
		proto.Merge(c.pending, batch)
	} else {
		c.pending = batch
		c.filled = true
	}
	c.mu.Unlock()
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

func (c *coalescer[T]) take() (T, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch, filled := c.pending, c.filled
	c.pending = c.newBatch()
	c.filled = false
	return batch, filled
}

// run sends batches until send fails or done is closed. The first batch after
// a pause goes at once; later ones wait for the interval since the last.
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
