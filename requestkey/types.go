package requestkey

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Member is one incarnation of a router. A restarted router keeps its name and gets a higher
// incarnation.
type Member struct {
	Name        string
	Incarnation uint64
}

// View is one revision of the platform's instance list, reduced to its routers.
type View struct {
	// Revision increases strictly with each change of the list.
	Revision uint64
	// FirstAsOf and LastAsOf are the earliest and the latest known time at which the list was
	// current, by the platform's clock. They are equal if only one such time is known.
	FirstAsOf time.Time
	LastAsOf  time.Time
	// Routers are the live routers, without those that are leaving.
	Routers []Member
}

// ID identifies a request. All requests of one workspace with the same key count as one.
type ID struct {
	Workspace string
	Key       string
}

// Digest is a hash of a request's method, path, relevant headers and body. A request with the
// same key and another Digest is refused with KEY_MISMATCH.
type Digest uint64

// Request is the input of Ledger.Begin.
type Request struct {
	ID     ID
	Digest Digest
	// Forwarded is set if another router forwarded the request. It is not forwarded again.
	Forwarded bool
}

// Header is one header of an Answer.
type Header struct {
	Name  string
	Value string
}

// Answer is the complete answer of a target.
type Answer struct {
	Status  int
	Code    v1.Code
	Headers []Header
	Body    []byte
}

func (a *Answer) bytes() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Record is what a ledger knows of a begun key. Routers send it to each other in ClaimReply
// and HandOver.
type Record struct {
	ID     ID
	Digest Digest
	// Ran is UNKNOWN while the request is in progress.
	Ran        v1.Ran
	InProgress bool
	// Answer is nil unless Ran is YES and the answer was small enough to keep. It must not be
	// changed.
	Answer *Answer
	// Remaining is how much longer the key is remembered.
	Remaining time.Duration
}

// Action is the kind of a Decision.
type Action int

// Actions start at 1, so that the zero Action is invalid.
const (
	// Dispatch: the caller of Begin must send the request to a target. It calls MayStart
	// directly before that, and Finish in any case.
	Dispatch Action = iota + 1
	// Replay: answer with Decision.Answer.
	Replay
	// Forward: send the request to the router Decision.Owner.
	Forward
	// Claim: ask each of Decision.Claims, report the results with ClaimAnswered or ClaimFailed,
	// then call Begin again.
	Claim
	// Refuse: answer with Decision.Code, Decision.Ran and Decision.RetryAfter.
	Refuse
)

// Decision is the result of Ledger.Begin.
type Decision struct {
	Action Action
	Code   v1.Code
	// Ran holds for the key, not only for this request. It is NO only if no attempt under the
	// key can have run.
	Ran        v1.Ran
	RetryAfter time.Duration
	Answer     *Answer
	Owner      Member
	// Claims are the earlier owners to ask, each with a ClaimRequest of this Revision.
	Claims   []Member
	Revision uint64
}

func refuse(code v1.Code, ran v1.Ran, retryAfter time.Duration) Decision {
	return Decision{Action: Refuse, Code: code, Ran: ran, RetryAfter: retryAfter}
}
