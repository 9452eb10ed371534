package edge

import (
	"errors"
	"io"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chiveseam/chiveseam/membudget"
)

// memoryBudget bounds the memory that messages hold together while they are read. It is safe for concurrent use.
type memoryBudget struct {
	mu sync.Mutex
	// budget is guarded by mu, with all its accounts.
	budget *membudget.Budget
	// revocations counts the messages that were given up.
	revocations prometheus.Counter
}

func newMemoryBudget(limit int64, revocations prometheus.Counter) *memoryBudget {
	return &memoryBudget{budget: membudget.New(limit), revocations: revocations}
}

// errMemory: the router has no memory left for a message.
var errMemory = errors.New("no memory for the message")

// holdAllowance is the memory of a message in bytes that does not count: that of its connection includes it.
const holdAllowance = 8 << 10

// hold is the memory that one message holds of a memoryBudget. A nil hold does not count. One goroutine uses it; giveUp
// is called by others.
type hold struct {
	budget *memoryBudget
	party  string
	// held is the memory of the message.
	held int64
	// account is nil as long as held has not exceeded holdAllowance. budget.mu guards its state and giveUp.
	account *membudget.Account
	giveUp  func()
}

// open returns the hold of a message from a party. If the message has to be given up, giveUp is called once; it must not block.
func (b *memoryBudget) open(party string, giveUp func()) *hold {
	return &hold{budget: b, party: party, giveUp: giveUp}
}

// grow counts n more bytes, or returns errMemory if the message has to be given up.
func (h *hold) grow(n int64) error {
	if h == nil {
		return nil
	}
	before := h.counted()
	h.held += n
	if h.held <= holdAllowance {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.account == nil {
		h.account = h.budget.budget.Open(h.party, h)
	}
	revoked, ok := h.account.Grow(h.counted() - before)
	for _, a := range revoked {
		h.budget.revocations.Inc()
		a.Owner.(*hold).giveUp()
	}
	if !ok {
		h.budget.revocations.Inc()
		return errMemory
	}
	return nil
}

// counted returns the part of the memory that counts.
func (h *hold) counted() int64 { return max(h.held-holdAllowance, 0) }

// shrink counts n bytes less.
func (h *hold) shrink(n int64) {
	if h == nil {
		return
	}
	before := h.counted()
	h.held -= n
	if before == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.account.Shrink(before - h.counted())
}

// pin keeps the message, which does not grow any more, from being given up from now on. It returns false if it has been.
func (h *hold) pin() bool {
	if h == nil || h.account == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.account.Pin()
}

// revoked reports whether the message was given up.
func (h *hold) revoked() bool {
	if h == nil || h.account == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.account.Revoked()
}

// onGiveUp replaces giveUp, or calls it if the message has been given up.
func (h *hold) onGiveUp(giveUp func()) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.giveUp = giveUp
	if h.account != nil && h.account.Revoked() {
		giveUp()
	}
}

// close gives the memory back.
func (h *hold) close() {
	if h == nil || h.account == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.account.Close()
}

// heldBuffer is a part of a message that is held in memory. Its capacity counts in hold.
type heldBuffer struct {
	hold *hold
	data []byte
}

// minBufferBytes is the least capacity of a heldBuffer that holds anything.
const minBufferBytes = 1024

// reserve makes room for n more bytes.
func (b *heldBuffer) reserve(n int) error {
	need := len(b.data) + n
	if need <= cap(b.data) {
		return nil
	}
	size := max(need, cap(b.data)+cap(b.data)/2, minBufferBytes)
	if err := b.hold.grow(int64(size - cap(b.data))); err != nil {
		return err
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}

func (b *heldBuffer) append(p []byte) error {
	if err := b.reserve(len(p)); err != nil {
		return err
	}
	b.data = append(b.data, p...)
	return nil
}

// join returns the text of the buffer with p behind it. If the buffer is empty, that is p itself.
func (b *heldBuffer) join(p []byte) ([]byte, error) {
	if len(b.data) == 0 {
		return p, nil
	}
	if err := b.append(p); err != nil {
		return nil, err
	}
	return b.data, nil
}

// keep reduces the buffer to the rest of a text that join has returned.
func (b *heldBuffer) keep(rest []byte) error {
	if len(rest) == len(b.data) && len(rest) > 0 {
		return nil
	}
	b.release()
	return b.append(rest)
}

// release empties the buffer. It keeps as much memory as a stream of small events needs.
func (b *heldBuffer) release() {
	b.data = b.data[:0]
	if size := cap(b.data); size > streamBufferBytes {
		b.hold.shrink(int64(size))
		b.data = nil
	}
}

// maxReservedBytes is the largest part of a message that is reserved before it comes.
const maxReservedBytes = 64 << 10

// readAll reads a message of length bytes, or to its end if length is -1. It ends after limit bytes, and reports
// whether there are more.
func (b *heldBuffer) readAll(r io.Reader, length, limit int64) (more bool, err error) {
	if err := b.reserve(int(min(max(length, 0), limit, maxReservedBytes))); err != nil {
		return false, err
	}
	for int64(len(b.data)) != length {
		if err := b.reserve(1); err != nil {
			return false, err
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) > limit:
			return true, nil
		case errors.Is(err, io.EOF):
			return false, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}
