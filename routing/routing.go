// Package routing holds what the operator's configuration says of requests: which
// route serves a host and path, which service may run it, how often, and for
// whom. Its types are immutable once built and safe for concurrent use.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Repeat says how often a request of a route may be executed.
type Repeat int

const (
	// Once: a request is executed at most once for each attempt of its caller.
	Once Repeat = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Resumable streams may go on at another target after the last event.
	Resumable
)

// Route is one route of the configuration.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix   string
	Services []Weighted
	Repeat   Repeat
	// Stream says that the answer is a series of events.
	Stream bool
	// Timeout is the longest time until the final answer, from the request's
	// first byte.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event, within
	// which the request is worth most to its caller.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events of a stream in time; 0 for
	// other routes.
	TargetGap time.Duration
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Anonymous routes take requests without an API key.
	Anonymous bool
}

// Weighted is one of the services that a route's requests are divided among.
type Weighted struct {
	Service string
	Weight  float64
}

// Service is a group of targets that run the same requests.
type Service struct {
	Name string
	// Engine is nil for services that are no model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots int
	// KVTokens is the capacity of the KV cache in tokens.
	KVTokens int
	// FetchPerToken is the time in which one engine takes a token's KV cache from
	// another one; 0 if engines cannot.
	FetchPerToken time.Duration
}

// Limits bound what callers may send. A zero field sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is what all engines together produce: tokens read once and
	// generated tokens twice. Workspaces share it.
	TokensPerSecond float64
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	byHost     map[string][]*Route
	workspaces map[string]string
	closed     bool
}

// NewTable builds a table. The keys of workspaces are API keys, its values
// workspaces; a nil map says that requests carry no keys.
func NewTable(version uint64, routes []*Route, services []Service, limits Limits, workspaces map[string]string) *Table {
	t := &Table{
		Version:    version,
		Services:   make(map[string]Service, len(services)),
		Limits:     limits,
		byHost:     make(map[string][]*Route),
		workspaces: workspaces,
		closed:     workspaces != nil,
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

// Match returns the route with the longest prefix of path among those of host.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Workspace returns the workspace of an API key. It returns false for a key that
// none holds, and "" and true on routes and in configurations without keys.
func (t *Table) Workspace(r *Route, key string) (string, bool) {
	if !t.closed {
		return "", true
	}
	if name, ok := t.workspaces[key]; ok {
		return name, true
	}
	return "", r.Anonymous
}

// Pick returns the service for a request, by the weights and draw, which must be
// uniform in [0, 1). It prefers services for which usable returns true.
func (r *Route) Pick(draw float64, usable func(service string) bool) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	if name, ok := pick(r.Services, draw, usable); ok {
		return name
	}
	name, _ := pick(r.Services, draw, func(string) bool { return true })
	return name
}

func pick(list []Weighted, draw float64, usable func(string) bool) (string, bool) {
	total := 0.0
	for _, w := range list {
		if usable(w.Service) {
			total += w.Weight
		}
	}
	draw *= total
	for _, w := range list {
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

// Target is one instance of a service as it registered itself.
type Target struct {
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	Slots   int
	// Draining targets take no new requests.
	Draining bool
	// Started is the Unix time in milliseconds at which the target started; 0 if
	// it does not say.
	Started int64
	// Sequence grows with each report of one start.
	Sequence uint64
}

// Supersedes reports whether t is a later report of the same target than old.
func (t Target) Supersedes(old Target) bool {
	if t.Started != old.Started {
		return t.Started > old.Started
	}
	return t.Sequence >= old.Sequence
}
