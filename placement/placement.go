// Package placement chooses the target of a request, or refuses the request.
//
// A Balancer holds one router's view of the load of the whole fleet: the router's own requests
// at each target, and the loads that the other routers stated in their latest reports. Choosing
// a target waits for no message. Two routers may choose the same target between two reports;
// the next reports show it to both.
//
// The targets of a service are either model engines or, for a plain service, servers whose
// requests have no prompt. For model engines, the time to the first token is predicted from
// the number of prompt tokens that the engine must process first: those of earlier requests,
// and those of the request itself less the prompt parts that are assumed to be in the engine's
// KV cache or can be fetched from the KV cache of another engine, the donor. The target with
// the least cost is chosen. The cost is the predicted time plus penalties, among them one for
// shared prompt parts that are processed again, since that delays all other requests at the
// engine. With Options.PrefixWeighing, a model of each engine's memory says which parts are cached and
// what a choice costs others.
//
// A request is refused if even the best target would let it wait too long. Workspaces share
// the capacity by max-min fairness: while the capacity does not meet all demands, the requests
// of a workspace above its share may wait only a small part of Demand.LatencyObjective. They are
// all refused if the workspace uses much more than another one whose requests are refused.
//
// For plain services, the target with the fewest requests per slot is chosen, weighted by how
// slow the target is.
//
// The package has no goroutine, clock or random source: callers pass in the current time. A
// Balancer is not safe for concurrent use.
package placement

import (
	"errors"
	"fmt"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// Part is a part of a prompt. Prompts with a common beginning share their leading parts.
type Part struct {
	// ID is a digest of the part's name and the model.
	ID uint64
	// Tokens is the length of the part.
	Tokens int
}

// Demand is a request that needs a target.
type Demand struct {
	Service   string
	Workspace string
	// Parts is the prompt in order; nil for requests to plain services. The last part is
	// unique to the request.
	Parts []Part
	// MaxOutputTokens is the largest number of tokens that may be generated.
	MaxOutputTokens int
	// Waited is the time since the request arrived at the router.
	Waited time.Duration
	// LatencyObjective is the route's objective for the time from the arrival of the request to
	// the first token: a later answer is worth less to the caller.
	LatencyObjective time.Duration
	// Remaining is the time until the caller gives up.
	Remaining time.Duration
	// Excluded reports whether the target with an ID must not get the request; nil excludes
	// none.
	Excluded func(target string) bool
	// Version is the VersionHash of the only version of targets that may get the request; 0 if all
	// may.
	Version uint32
	// Regions are the regions of the targets that may get the request.
	Regions routing.Regions
	// WithinShare is set by Admit if the workspace gets no more than its share with this request.
	WithinShare bool
	// Repeated is set if the request was sent to a target before, or goes on with a stream: it is
	// never refused because of its wait or the share of its workspace.
	Repeated bool
	// found is the result of Admit for the Choose that follows; nil otherwise.
	found *search
}

// plain reports whether the request is for a plain service: it has no prompt.
func (d *Demand) plain() bool { return len(d.Parts) == 0 }

// PromptTokens returns the total length of Parts in tokens.
func (d *Demand) PromptTokens() int {
	total := 0
	for _, p := range d.Parts {
		total += p.Tokens
	}
	return total
}

// Cost returns the number of tokens by which the request counts in the share of its workspace:
// each prompt token once, each token that may be generated twice.
func (d *Demand) Cost() float64 {
	return float64(d.PromptTokens() + generatedWeight*d.MaxOutputTokens)
}

// generatedWeight is the weight of a generated token in the cost of a request. The engines'
// throughput in the configuration, routing.Limits.TokensPerSecond, has the same weight.
const generatedWeight = 2

// ShareUsage compares a workspace's use of the capacity with its share and with the other
// workspaces, as one router sees it.
type ShareUsage struct {
	// Share is the max-min fair share of each workspace in tokens per second; 0 if the
	// capacity meets all demands.
	Share float64
	// Use is the cost of the workspace's requests that were sent to targets within the share
	// window, in multiples of its share; 0 while the capacity meets all demands.
	Use float64
	// LeastRefusedUse is the least use, in multiples of the share, among workspaces of which
	// many requests are refused; infinite if there is none.
	LeastRefusedUse float64
	// Asked is the cost of the workspace's requests that came to all routers lately, and HeldTo
	// the most that is sent to targets, both in multiples of its share; 0 and infinite while the
	// capacity meets all demands.
	Asked, HeldTo float64
}

// Cause names the limit by which a request was refused. Logs and metrics show its value.
type Cause string

const (
	// CauseWait: the request would wait too long at the best target.
	CauseWait Cause = "wait"
	// CauseLead: the workspace asks for more than ShareUsage.HeldTo. With it, it would get much
	// more than another one whose requests are refused.
	CauseLead Cause = "lead"
	// CauseRate: all usable targets have got as many requests as their rate limits allow.
	CauseRate Cause = "rate"
	// CauseCold: all usable targets are cold and have got as many requests as they take then.
	CauseCold Cause = "cold"
)

// Choice is a target for a request, with the figures on which the choice is based.
type Choice struct {
	ShareUsage
	// Target is the ID of the target.
	Target string
	// Unread is the number of prompt tokens of the request that the target must process
	// itself.
	Unread int
	// SharedUnread is the part of Unread that other requests have in common. OthersCost is what the
	// request takes from others there, in terms of its own time to the first token.
	SharedUnread int
	OthersCost   time.Duration
	// MemoryHeld is the estimated number of tokens of KV cache that running requests of all routers hold
	// at the target; 0 without Options.PrefixWeighing.
	MemoryHeld int
	// Donor is the ID of the target from whose KV cache Fetched prompt tokens are fetched; ""
	// if none are.
	Donor   string
	Fetched int
	// Backlog is the number of prompt tokens of earlier requests that the target must process
	// first.
	Backlog int
	// Running is the number of requests of all routers at the target.
	Running int
	// Cold is set if the target is cold.
	Cold bool
	// Slowness is the ratio of the target's times to the first token to those that are usual
	// for its service.
	Slowness float64
	// Pace is the factor by which the target's machine is believed to lengthen the work; 0 if the
	// targets of the service state no pace.
	Pace float64
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// ViewAge is the time since the oldest of the other routers' latest reports.
	ViewAge time.Duration
}

// Errors of Choose.
var (
	// ErrNoTarget means that all targets of the service leave, want no requests for now, are
	// excluded or held back by their circuit breakers, or that it has none.
	ErrNoTarget = errors.New("placement: no usable target")
	// ErrEvacuated means the same, since the zones of the targets are evacuated.
	ErrEvacuated = fmt.Errorf("%w: their zones are evacuated", ErrNoTarget)
	// ErrRegion means the same, since no target is in a region that the request may be sent to.
	ErrRegion = fmt.Errorf("%w: none is in an allowed region", ErrNoTarget)
	// ErrOverShare means that the capacity does not meet all demands and the workspace uses
	// more than its share.
	ErrOverShare = errors.New("placement: workspace above its share")
	// ErrSaturated means that the request would wait too long at the best target, or that the rate
	// limits of all usable targets are used up.
	ErrSaturated = errors.New("placement: targets saturated")
)

// Refusal is the error of Choose.
type Refusal struct {
	// Err is ErrNoTarget or an error that wraps it, ErrOverShare or ErrSaturated.
	Err error
	// RetryAfter is the time after which the request may be admitted.
	RetryAfter time.Duration
	// Cause is the limit by which the request was refused; "" with ErrNoTarget.
	Cause Cause
	// Predicted is the predicted time to the first token at the best target; 0 if the targets were not
	// assessed, with ErrNoTarget or CauseLead.
	Predicted time.Duration
	// Wait is the part of Predicted before the target begins to process the prompt. Limit is
	// the longest wait that is allowed, including Demand.Waited.
	Wait, Limit time.Duration
	// Ineligible counts the targets that could not get the request, if none could.
	Ineligible IneligibleTargets
	// ViewAge is the time since the oldest of the other routers' latest reports; 0 with
	// ErrNoTarget.
	ViewAge time.Duration
	ShareUsage
}

// Error returns the text of Err.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns Err, for errors.Is.
func (r *Refusal) Unwrap() error { return r.Err }
