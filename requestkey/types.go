package requestkey

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Member is one incarnation of a router.
type Member struct {
	Name        string
	Incarnation uint64
}

// View is the routers of one revision of the platform's instance list.
type View struct {
	// Revision grows strictly with each change of the list.
	Revision uint64
	// FirstAsOf and LastAsOf are the earliest and the latest known time at which
	// the list was true, by the platform's clock. Of a list that was just read
	// they are equal.
	FirstAsOf time.Time
	LastAsOf  time.Time
	// Routers are the live routers, without those that leave.
	Routers []Member
}

// ID identifies a request.
type ID struct {
	Workspace string
	Key       string
}

// Digest is a digest of a request's method, path, headers that matter and
// body.
type Digest uint64

// Request is what Begin decides on.
type Request struct {
	ID     ID
	Digest Digest
	// Forwarded is set for a request that came from another router. It is not
	// forwarded again.
	Forwarded bool
}

// Header is one header of an answer.
type Header struct {
	Name  string
	Value string
}

// Answer is a target's whole answer.
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

// Record is what the ledger knows of a key that was begun.
type Record struct {
	ID     ID
	Digest Digest
	// Ran is UNKNOWN while the request is in progress.
	Ran        v1.Ran
	InProgress bool
	// Answer is nil unless Ran is YES and the answer was small enough. It must
	// not be changed.
	Answer *Answer
	// Remaining is how much longer the key is remembered.
	Remaining time.Duration
}

// Action is the kind of a Decision.
type Action int

// The actions. The zero Action is invalid.
const (
	// Dispatch: the caller of Begin must send the request to a target, asking
	// MayStart directly before, and must call Finish in any case.
	Dispatch Action = iota + 1
	// Replay: answer with Decision.Answer.
	Replay
	// Forward: pass the request to Decision.Owner.
	Forward
	// Claim: ask each of Decision.Claims, report the results with ClaimAnswered
	// or ClaimFailed, then call Begin again.
	Claim
	// Refuse: answer with Decision.Code, Decision.Ran and Decision.RetryAfter.
	Refuse
)

// Decision is the result of Begin.
type Decision struct {
	Action Action
	Code   v1.Code
	// Ran holds for the key, not just for this attempt. It is NO only if no
	// attempt under the key can have run.
	Ran        v1.Ran
	RetryAfter time.Duration
	Answer     *Answer
	Owner      Member
	// Claims are the earlier owners to ask, with ClaimRequest.Revision set to
	// Revision.
	Claims   []Member
	Revision uint64
}

func refuse(code v1.Code, ran v1.Ran, retryAfter time.Duration) Decision {
	return Decision{Action: Refuse, Code: code, Ran: ran, RetryAfter: retryAfter}
}
