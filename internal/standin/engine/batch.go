package engine

import (
	"context"
	"sync"
	"time"
)

// sequence is the progress of one request in the batch. Its fields are guarded by
// batch.mu.
type sequence struct {
	// pendingPrefill is the number of prompt tokens still to be processed.
	pendingPrefill int
	// produced and total count the answer's tokens: those produced so far, and all of
	// them.
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

// batch advances all its sequences together, one step at a time.
type batch struct {
	// slots is the largest number of sequences that run at full speed.
	slots int
	// stepTime is the duration of a step with at most slots sequences.
	stepTime time.Duration
	// prefillPerStep is the number of prompt tokens of each sequence processed in one
	// step.
	prefillPerStep int
	// onSizeChange is called with the number of sequences, while mu is held.
	onSizeChange func(size int)

	// mu guards the fields below and those of the sequences. running is set while a
	// goroutine executes run.
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

// join adds s unless all its tokens are produced, and starts the steps if the batch was
// empty.
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

// leave removes s from the batch.
func (b *batch) leave(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaveLocked(s)
}

// leaveLocked removes s. The caller holds mu.
func (b *batch) leaveLocked(s *sequence) {
	delete(b.sequences, s)
	b.onSizeChange(len(b.sequences))
}

// run executes steps until the batch is empty.
func (b *batch) run() {
	for {
		time.Sleep(b.nextStepTime())
		if !b.step() {
			return
		}
	}
}

// nextStepTime returns the duration of the next step. If the batch is larger than the
// slots, the duration is in proportion to the size of the batch.
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

// advanceLocked processes a part of the prompt of s, or produces one token once the
// prompt is processed. It removes s after the last token. The caller holds mu.
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

// waitForTokens blocks until s has produced at least n tokens and returns their number.
// It returns the error of ctx if ctx ends first.
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
