// Package dispatch executes requests at targets: it obtains a slot, makes one
// attempt after the other as far as that is allowed, relays the answer, and
// says truthfully whether the request ran.
package dispatch

import (
	"net/http"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// Request is one caller's request, read in full.
type Request struct {
	Config    *config.Accepted
	Workspace *v1.Workspace
	Pool      *v1.Pool
	Method    string
	// TargetURI is the path and query at the target.
	TargetURI string
	Header    http.Header
	Body      []byte
	// Idempotent is set when the request may be executed more than once.
	Idempotent bool
	// StartBy is the latest time of the first byte of the answer, EndBy the
	// latest time of the last one.
	StartBy time.Time
	EndBy   time.Time
	// Estimate is the expected cost in cost units; zero means unknown.
	Estimate uint32
	// Prefix identifies the prompt prefix; zero means none.
	Prefix uint32
	// Digest identifies the request's content, whoever sends it.
	Digest uint64
	// MayStart, if set, is asked directly before an attempt sends the request.
	// The request must not be sent when it returns false.
	MayStart func() bool
	// BeforeEnd, if set, is told of an answer that is known to be whole, with its
	// result and its last part, before that part goes to the sink. It is not called
	// for plain answers over 1 MiB.
	BeforeEnd func(end *result.Result, last []byte)
}

func (r *Request) beforeEnd(end *result.Result, last []byte) {
	if r.BeforeEnd != nil {
		r.BeforeEnd(end, last)
	}
}

// Sink receives the answer. Head is called at most once and before Data. Its
// result is nil for an answer whose end is not known yet. An error means that
// the caller went away.
type Sink interface {
	Head(status int, header http.Header, known *result.Result) error
	Data(p []byte) error
}

// countingSink remembers how much of the answer reached the caller.
type countingSink struct {
	Sink
	started bool
}

func (s *countingSink) Head(status int, header http.Header, known *result.Result) error {
	s.started = true
	return s.Sink.Head(status, header, known)
}
