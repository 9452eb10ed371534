// Package routing holds the operator's configuration for requests: which route serves a
// host and path, which services may run its requests, how often a request may run, and
// which workspaces may send it. It also holds the targets that run the requests of a
// service.
//
// Values of its types are not changed once they are built, so that they are safe for
// concurrent use.
package routing

import (
	"iter"
	"sort"
	"strings"
	"time"
)

// RetryPolicy says whether a request that may have run may be sent to a target again.
type RetryPolicy int

const (
	// AtMostOnce requests run at most once each time that the caller sends them.
	AtMostOnce RetryPolicy = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable streams may continue on another target, after the last event that the
	// first one sent.
	Resumable
)

// Route is the configuration of the requests to one host and path prefix.
type Route struct {
	// Name identifies the route in logs and traces.
	Name string
	// Host is the host name of the requests, without a port. Its case is ignored.
	Host string
	// Prefix is the start of the paths of the route. It begins and ends with a slash.
	Prefix string
	// Services are the services among which the requests are divided.
	Services    []WeightedService
	RetryPolicy RetryPolicy
	// Stream is set if the answer is a stream of events.
	Stream bool
	// Timeout is the longest time from the first byte of the request to the end of the
	// answer.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the answer, or to the first event of
	// a stream. An answer within it is worth most to the caller.
	LatencyObjective time.Duration
	// EventGapObjective is the objective for the longest pause between two events of a stream; 0
	// for routes without streams.
	EventGapObjective time.Duration
	// MaxAttempts is the largest number of targets to which one request may be sent.
	MaxAttempts int
	// Anonymous routes accept requests without an API key.
	Anonymous bool
	// AllowedRegions restrict the targets of the requests.
	AllowedRegions Regions
}

// WeightedService is a service of a route and its share of the route's requests.
type WeightedService struct {
	Service string
	// Weight is the share relative to the weights of the other services of the route.
	Weight float64
}

// Service is a group of targets that can run the same requests.
type Service struct {
	Name string
	// Engine describes the targets if they are model engines, otherwise it is nil.
	Engine *Engine
	// ColdStart is the time for which a target is cold after its start. While it is, it takes
	// ColdPerSecond requests per second; 0 if targets are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
	// StatusPath is the path of the status check of a target; "" if the configuration states none.
	StatusPath string
}

// Engine describes each of the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at the same time, as one batch.
	Slots int
	// KVCacheTokens is the capacity of the KV cache in tokens.
	KVCacheTokens int
	// FetchTimePerToken is the time that an engine needs to copy one token of the KV cache of
	// another engine; 0 if engines cannot copy.
	FetchTimePerToken time.Duration
}

// Limits bound the requests of callers. A zero field means that the configuration does not
// state this limit.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes of a request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time in which a header must arrive, IdleTimeout the time for
	// which a connection may stay open between requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the throughput of all engines together, which workspaces share.
	// A prompt token counts once and a generated token twice.
	TokensPerSecond float64
}

// Table is one version of the operator's configuration.
type Table struct {
	// Version grows with each configuration.
	Version uint64
	// Services holds the services by name.
	Services map[string]Service
	Limits   Limits
	// WorkspaceRegions restrict the targets of the requests of a workspace, by its name.
	WorkspaceRegions map[string]Regions

	// byHost holds the routes by lower-case host name, those with the longest prefix
	// first.
	byHost map[string][]*Route
	// workspaces holds the workspace of each API key.
	workspaces map[string]string
	// requireKeys is set if requests to routes that are not anonymous need an API key.
	requireKeys bool
}

// NewTable returns a table. The map workspaces holds the workspace of each API key; nil
// means that requests need no keys.
func NewTable(version uint64, routes []*Route, services []Service, limits Limits, workspaces map[string]string) *Table {
	t := &Table{
		Version:     version,
		Services:    make(map[string]Service, len(services)),
		Limits:      limits,
		byHost:      make(map[string][]*Route),
		workspaces:  workspaces,
		requireKeys: workspaces != nil,
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Routes returns all routes, in no order.
func (t *Table) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, list := range t.byHost {
			for _, r := range list {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Match returns the route of host whose prefix of path is the longest. The host may have
// a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostname returns host in lower case and without its port. The colons of an IPv6 address
// in brackets are kept.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Workspace returns the workspace of an API key and whether the key is accepted for route
// r. A key of no workspace is accepted, with the workspace "", if r is anonymous or the
// configuration requires no keys.
func (t *Table) Workspace(r *Route, key string) (string, bool) {
	if !t.requireKeys {
		return "", true
	}
	if name, ok := t.workspaces[key]; ok {
		return name, true
	}
	return "", r.Anonymous
}

// Pick returns the service for a request. The argument draw must be uniform in [0, 1); it
// selects a service by the weights among those for which usable returns true, or among
// all if there is none.
func (r *Route) Pick(draw float64, usable func(service string) bool) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	if name, ok := pickWeighted(r.Services, draw, usable); ok {
		return name
	}
	name, _ := pickWeighted(r.Services, draw, func(string) bool { return true })
	return name
}

// pickWeighted returns false if no usable service has a weight above 0.
func pickWeighted(services []WeightedService, draw float64, usable func(string) bool) (string, bool) {
	total := 0.0
	for _, w := range services {
		if usable(w.Service) {
			total += w.Weight
		}
	}
	draw *= total
	for _, w := range services {
		if !usable(w.Service) || w.Weight <= 0 {
			continue
		}
		if draw < w.Weight {
			return w.Service, true
		}
		draw -= w.Weight
	}
	return "", false
}

// Target is a registered target: one process that runs the requests of a service.
type Target struct {
	ID      string
	Service string
	// Address is the IP:port at which the target takes requests.
	Address string
	Zone    string
	// Version is the version of the target's software; "" if it is not known.
	Version string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Draining is set if the target takes no new requests.
	Draining bool
	// StartedUnixMs is the Unix time in milliseconds at which the target started; 0 if it is
	// not known.
	StartedUnixMs int64
	// ColdRemaining is the time for which the target was still cold when it registered.
	ColdRemaining time.Duration
	// Sequence grows with each registration since the target started.
	Sequence uint64
}

// Supersedes reports whether t is the newer of two registrations of one target, or as new
// as old. The start times are compared first, since a target counts its sequence anew after
// a restart.
func (t Target) Supersedes(old Target) bool {
	if t.StartedUnixMs != old.StartedUnixMs {
		return t.StartedUnixMs > old.StartedUnixMs
	}
	return t.Sequence >= old.Sequence
}
