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
	// firstBodyBytes is the memory for a body before its first bytes came. It
	// doubles as they come, whatever length the caller announced.
	firstBodyBytes = 4 << 10
	// trustedPart is the part of an announced length, one over this, after which
	// a body gets the memory of that length at once.
	trustedPart = 4
)

// byteBudget bounds the bytes of all bodies in memory. It is safe for
// concurrent use.
type byteBudget struct {
	taken atomic.Int64
}

func (b *byteBudget) take(n, limit int64) bool {
	if b.taken.Add(n) > limit {
		b.taken.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) give(n int64) { b.taken.Add(-n) }

func (b *byteBudget) used() int64 { return b.taken.Load() }

// body is a request's body and the budget that it holds.
type body struct {
	data   []byte
	held   int64
	budget *byteBudget
	// announced is the length that the caller announced; -1 if unknown.
	announced int64
	// allLimit bounds the bytes of all bodies.
	allLimit int64
}

func (b *body) release() {
	b.budget.give(b.held)
	b.held = 0
}

// readBody reads a body in full within the limits. The caller must release it.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *caller) (*body, *result.Result) {
	limit := s.opts.MaxBodyBytes
	if configured := int64(c.config.Proto.GetLimits().GetMaxBodyBytes()); configured > 0 {
		limit = min(limit, configured)
	}
	c.unread = true
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	// A server without deadlines on its connection reads without one.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opts.BodyTimeout))
	b := &body{budget: &s.bodies, announced: r.ContentLength, allLimit: s.bodiesLimit(c)}
	if refusal := b.fill(r.Body, limit); refusal != nil {
		b.release()
		return nil, refusal
	}
	c.unread = false
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return b, nil
}

func tooLarge(limit int64) *result.Result {
	return result.New(v1.Code_BODY_TOO_LARGE, v1.Ran_NO, "the limit is %d bytes", limit)
}

// bodiesLimit returns the bound on all bodies in memory, of the settings and of
// the configuration.
func (s *Server) bodiesLimit(c *caller) int64 {
	limit := s.opts.MaxBodiesBytes
	if configured := int64(c.config.Proto.GetLimits().GetMaxBodiesBytes()); configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

func (b *body) fill(r io.Reader, limit int64) *result.Result {
	for {
		room, ok := b.room(limit)
		if !ok {
			return busy("the bodies in memory reach the limit of %d bytes", b.allLimit)
		}
		n, err := r.Read(room)
		if int64(len(b.data)+n) > limit {
			return tooLarge(limit)
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

// room returns where the next bytes go, doubling the memory of the body if
// there is none. A body at the limit gets one byte, which tells whether there
// is more. It returns false if the budget does not allow it.
func (b *body) room(limit int64) ([]byte, bool) {
	if int64(len(b.data)) == limit {
		return make([]byte, 1), true
	}
	if len(b.data) == cap(b.data) && !b.grow(limit) {
		return nil, false
	}
	return b.data[len(b.data):cap(b.data)], true
}

// grow makes the memory of the body larger, up to the limit.
func (b *body) grow(limit int64) bool {
	size := b.nextSize(limit)
	if !b.budget.take(size-b.held, b.allLimit) {
		return false
	}
	b.held = size
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// nextSize returns the memory that the body gets next: double, or its announced
// length once a part of it came.
func (b *body) nextSize(limit int64) int64 {
	size := max(firstBodyBytes, 2*int64(cap(b.data)))
	if int64(len(b.data)) >= b.announced/trustedPart {
		size = max(size, b.announced)
	}
	return min(size, limit)
}
