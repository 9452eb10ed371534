package entry

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

const (
	// initialBodyBytes is the buffer size of a body before any byte was read. The
	// size doubles as bytes arrive. The caller's Content-Length does not
	// change it at first, so that a caller that sends nothing holds little memory.
	initialBodyBytes = 4 << 10
	// declaredTrustDivisor is the divisor of the declared Content-Length: once this
	// fraction has arrived, the buffer grows to the declared length at once.
	declaredTrustDivisor = 4
)

// byteBudget counts the memory that is reserved for all bodies together. It is
// safe for concurrent use.
type byteBudget struct {
	reservedBytes atomic.Int64
}

// reserve adds n bytes to the reserved memory. If the sum would exceed the limit,
// it reserves nothing and returns false.
func (b *byteBudget) reserve(n, limit int64) bool {
	if b.reservedBytes.Add(n) > limit {
		b.reservedBytes.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.reservedBytes.Add(-n) }

func (b *byteBudget) reserved() int64 { return b.reservedBytes.Load() }

// body is the body of one request. It is used by one goroutine at a time.
type body struct {
	data     []byte
	reserved int64
	budget   *byteBudget
	// declared is the length that the caller declared; -1 if unknown.
	declared int64
	// totalLimit bounds the bytes of all bodies.
	totalLimit int64
}

// release returns the reserved memory to the budget.
func (b *body) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}

// readBody reads the whole body of a request. It returns a refusal if the body or
// all bodies together exceed a limit, or if the body can't be read completely within
// Options.BodyTimeout. The caller must release the body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, in *inboundRequest) (*body, *result.Result) {
	limit := s.opts.MaxBodyBytes
	if configured := int64(in.config.Proto.GetLimits().GetMaxBodyBytes()); configured > 0 {
		limit = min(limit, configured)
	}
	in.bodyUnread = true
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	// Some ResponseWriters support no deadline, such as that of a forwarded
	// request. The body is then read without one.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opts.BodyTimeout))
	b := &body{budget: &s.bodies, declared: r.ContentLength, totalLimit: s.totalBodyLimit(in)}
	if refusal := b.readFrom(r.Body, limit); refusal != nil {
		b.release()
		return nil, refusal
	}
	in.bodyUnread = false
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return b, nil
}

func bodyTooLarge(limit int64) *result.Result {
	return result.New(v1.Code_BODY_TOO_LARGE, v1.Ran_NO, "the limit is %d bytes", limit)
}

// totalBodyLimit returns the limit on the memory for all bodies together, in bytes:
// the lower one of the settings and of the configuration.
func (s *Server) totalBodyLimit(in *inboundRequest) int64 {
	limit := s.opts.MaxBodiesBytes
	if configured := int64(in.config.Proto.GetLimits().GetMaxBodiesBytes()); configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

// readFrom appends everything from r to the data. It returns a refusal if the
// body is longer than limit bytes, if there is no memory for it in the budget, or
// if r fails.
func (b *body) readFrom(r io.Reader, limit int64) *result.Result {
	for {
		buffer, ok := b.nextBuffer(limit)
		if !ok {
			return routerBusy("the bodies in memory reach the limit of %d bytes", b.totalLimit)
		}
		n, err := r.Read(buffer)
		if int64(len(b.data)+n) > limit {
			return bodyTooLarge(limit)
		}
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return result.New(v1.Code_BAD_REQUEST, v1.Ran_NO, "the body could not be read: %v", err)
		}
	}
}

// nextBuffer returns the buffer for the next read: the free capacity of the data,
// which grows first if there is none. If the body has reached the limit,
// the buffer is one separate byte, which shows whether the body is longer.
// nextBuffer returns false if the budget has no memory for a larger buffer.
func (b *body) nextBuffer(limit int64) ([]byte, bool) {
	if int64(len(b.data)) == limit {
		return make([]byte, 1), true
	}
	if len(b.data) == cap(b.data) && !b.grow(limit) {
		return nil, false
	}
	return b.data[len(b.data):cap(b.data)], true
}

// grow increases the capacity of the data, up to limit bytes. It returns false
// without a change if the budget has no memory for that.
func (b *body) grow(limit int64) bool {
	capacity := b.nextCapacity(limit)
	if !b.budget.reserve(capacity-b.reserved, b.totalLimit) {
		return false
	}
	b.reserved = capacity
	b.data = append(make([]byte, 0, capacity), b.data...)
	return true
}

// nextCapacity returns the next capacity of the data in bytes, at most limit. It
// doubles the capacity. Once a fraction of the declared length has arrived, given
// by declaredTrustDivisor, it is the declared length if that is more.
func (b *body) nextCapacity(limit int64) int64 {
	capacity := max(initialBodyBytes, 2*int64(cap(b.data)))
	if int64(len(b.data)) >= b.declared/declaredTrustDivisor {
		capacity = max(capacity, b.declared)
	}
	return min(capacity, limit)
}
