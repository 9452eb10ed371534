package engine

import (
	"context"
	"sync"
	"time"
)

// sequence is the part of a request that the batch works on. Its fields are
// guarded by the batch's lock.
type sequence struct {
	// pendingPrefill is the number of prompt tokens still to be computed.
	pendingPrefill int
	// produced and total count the tokens of the answer.
	produced, total int
	// changed is closed and replaced when produced grows.
	changed chan struct{}
}

func newSequence(pendingPrefill int) *sequence {
	return &sequence{pendingPrefill: pendingPrefill, changed: make(chan struct{})}
}

func (s *sequence) finished() bool {
	return s.produced >= s.total
}

// batch computes all joined sequences in common steps.
type batch struct {
	slots          int
	stepTime       time.Duration
	prefillPerStep int
	onSizeChange   func(size int)

	mu        sync.Mutex
	sequences map[*sequence]struct{}
	running   bool
}

func newBatch(slots int, stepTime time.Duration, prefillPerStep int, onSizeChange func(int)) *batch {
	return &batch{
		slots:          slots,
		stepTime:       stepTime,
		prefillPerStep: prefillPerStep,
		onSizeChange:   onSizeChange,
		sequences:      map[*sequence]struct{}{},
	}
}

func (b *batch) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sequences)
}

// join adds s unless it is finished.
func (b *batch) join(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.finished() {
		return
	}
	b.sequences[s] = struct{}{}
	b.onSizeChange(len(b.sequences))
	if !b.running {
		b.running = true
		go b.run()
	}
}

// leave removes s.
func (b *batch) leave(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaveLocked(s)
}

func (b *batch) leaveLocked(s *sequence) {
	delete(b.sequences, s)
	b.onSizeChange(len(b.sequences))
}

// run steps until the batch is empty.
func (b *batch) run() {
	for {
		time.Sleep(b.nextStepTime())
		if !b.step() {
			return
		}
	}
}

// nextStepTime grows with the part of the batch that exceeds the slots.
func (b *batch) nextStepTime() time.Duration {
	size := b.size()
	if size <= b.slots {
		return b.stepTime
	}
	return b.stepTime * time.Duration(size) / time.Duration(b.slots)
}

// step advances all sequences and reports whether any is left.
func (b *batch) step() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.sequences {
		b.advanceLocked(s)
	}
	b.running = len(b.sequences) > 0
	return b.running
}

func (b *batch) advanceLocked(s *sequence) {
	if s.pendingPrefill > 0 {
		s.pendingPrefill -= b.prefillPerStep
		return
	}
	s.produced++
	close(s.changed)
	s.changed = make(chan struct{})
	if s.finished() {
		b.leaveLocked(s)
	}
}

// waitForTokens returns the number of tokens produced once it is at least n.
func (b *batch) waitForTokens(ctx context.Context, s *sequence, n int) (int, error) {
	for {
		produced, changed := b.progress(s)
		if produced >= n {
			return produced, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return produced, ctx.Err()
		}
	}
}

func (b *batch) progress(s *sequence) (produced int, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.produced, s.changed
}
