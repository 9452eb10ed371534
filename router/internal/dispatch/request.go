// Package dispatch executes requests at targets. For each attempt it obtains a slot
// from the broker, sends the request, and relays the answer. It retries as far as the
// guard allows, and its result states whether the request ran, did not run, or may have
// run.
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
	// TargetURI is the path and query of the request at the target.
	TargetURI string
	Header    http.Header
	Body      []byte
	// Idempotent is set when the request may be executed more than once.
	Idempotent bool
	// StartBy is the latest time for the first byte of the answer, EndBy for the last.
	StartBy time.Time
	EndBy   time.Time
	// Estimate is the expected cost in cost units; zero means unknown.
	Estimate uint32
	// Prefix identifies the prompt prefix; zero means none.
	Prefix uint32
	// Digest identifies the content of the request. Equal requests of different callers
	// have the same digest.
	Digest uint64
	// MayStart, if set, is called directly before an attempt sends the request. If it
	// returns false, the request must not be sent.
	MayStart func() bool
	// BeforeEnd, if set, is called with the result and the last part of an answer that
	// is known to be complete, before that part goes to the sink. It is not called for
	// plain answers over 1 MiB (maxBufferedAnswer).
	BeforeEnd func(end *result.Result, last []byte)
}

func (r *Request) beforeEnd(end *result.Result, last []byte) {
	if r.BeforeEnd != nil {
		r.BeforeEnd(end, last)
	}
}

// Sink receives the answer to a request. Head is called at most once, and before Data.
// final is the result of the request, or nil if it is not known yet whether the answer
// will be complete. An error of either method means that the caller has disconnected.
type Sink interface {
	Head(status int, header http.Header, final *result.Result) error
	Data(p []byte) error
}

// trackingSink records whether any part of the answer was passed to the caller.
type trackingSink struct {
	Sink
	started bool
}

func (s *trackingSink) Head(status int, header http.Header, final *result.Result) error {
	s.started = true
	return s.Sink.Head(status, header, final)
}
