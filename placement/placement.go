// Package placement chooses the target of a request, or refuses it.
//
// A Book is one router's view of the load of the whole fleet: what it has itself
// under way at each target, and what the other routers told last. No request
// waits for a message. Two routers may choose the same target within the time of
// one report; the next reports show it.
//
// For model engines the time to the first token is predicted from the prompt
// tokens that the target has still to read, less the prompt parts that it is
// believed to keep or can take from the KV cache of another one. The target with
// the least predicted time wins, where reading a kept part again counts more than
// its own time, since it delays all others on that target. When even the best prediction misses what the caller wants, the
// capacity is short: workspaces above their max-min share are refused first.
//
// For other services the target with the fewest requests for its slots wins.
//
// The package holds no goroutine, clock or random source. A Book is not safe for
// concurrent use.
package placement

import (
	"errors"
	"time"
)

// Part is a part of a prompt. Requests share parts.
type Part struct {
	// ID digests the part's name and the model.
	ID uint64
	// Tokens is the length of the part.
	Tokens int
}

// Demand is a request that needs a target.
type Demand struct {
	Service   string
	Workspace string
	// Parts is the prompt in order; nil for requests to plain services.
	Parts []Part
	// Output is the most tokens that may be generated.
	Output int
	// Waited is the time since the caller's request came.
	Waited time.Duration
	// Want is the time to the first token, from the request's arrival, within
	// which the answer is worth most.
	Want time.Duration
	// Left is the time until the caller gives up.
	Left time.Duration
	// Excluded reports targets that must not get the request.
	Excluded func(target string) bool
	// Repeated is set if the request was sent before: it is not refused for its
	// workspace's share.
	Repeated bool
}

// plain reports whether the request has no prompt: it is for a plain service.
func (d *Demand) plain() bool { return len(d.Parts) == 0 }

// Prompt returns the number of prompt tokens.
func (d *Demand) Prompt() int {
	total := 0
	for _, p := range d.Parts {
		total += p.Tokens
	}
	return total
}

// Cost returns the tokens that the request uses of the engines' throughput: what
// is read once, what is generated twice.
func (d *Demand) Cost() float64 {
	return float64(d.Prompt() + generatedWeight*d.Output)
}

// generatedWeight is the weight of a generated token in the throughput that
// workspaces share, as the configuration states it.
const generatedWeight = 2

// Standing is a workspace's place among the others, as its router sees it.
type Standing struct {
	// Level is the share of a workspace in tokens a second; 0 if the capacity meets all
	// demands.
	Level float64
	// Use is what the workspace has begun, in multiples of its share.
	Use float64
	// Least is the least use of a workspace that is refused much; infinite if none is.
	Least float64
}

// Cause is which limit refused a request.
type Cause string

const (
	// CauseWait: others would have to wait too long.
	CauseWait Cause = "wait"
	// CauseLead: the workspace has much more than another one that is refused.
	CauseLead Cause = "lead"
)

// Choice is a target for a request, with what decided.
type Choice struct {
	Standing
	Target string
	// Unread is the number of prompt tokens that the target has to read for it.
	Unread int
	// Donor is the target from whose KV cache Fetched prompt tokens are taken; ""
	// if none are.
	Donor   string
	Fetched int
	// Backlog is the number of prompt tokens that the target has to read before.
	Backlog int
	// Running is the number of requests at the target in the whole fleet.
	Running int
	// Slowness is the target's time against that of the others of its service.
	Slowness float64
	// Predicted is the time to the first token.
	Predicted time.Duration
	// Age is the age of the oldest report of another router in the view.
	Age time.Duration
}

// Errors of Choose.
var (
	// ErrNoTarget says that no target of the service can be used.
	ErrNoTarget = errors.New("placement: no usable target")
	// ErrOverShare says that capacity is short and that the workspace has more
	// than its share.
	ErrOverShare = errors.New("placement: workspace above its share")
	// ErrSaturated says that no target could answer in useful time.
	ErrSaturated = errors.New("placement: targets saturated")
)

// Refusal is the error of Choose.
type Refusal struct {
	// Err is one of the errors above.
	Err error
	// RetryAfter is when capacity is expected.
	RetryAfter time.Duration
	// Cause is the limit that refused; "" without targets.
	Cause Cause
	// Predicted is the least predicted time to the first token; 0 without targets.
	Predicted time.Duration
	// Wait is the part of Predicted in which others are served, Limit what is allowed.
	Wait, Limit time.Duration
	// Age is the age of the oldest report of another router in the view.
	Age time.Duration
	Standing
}

// Error names the cause.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }
