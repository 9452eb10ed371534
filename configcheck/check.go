package configcheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/internal/jsontree"
	"github.com/chiveseam/chiveseam/routing"
)

// Severity says whether a configuration may be sent in spite of a finding.
type Severity string

// Severities of findings.
const (
	// Error is a mistake, an entry without effect, or a contradiction.
	Error Severity = "error"
	// Warning is what routers handle sensibly, but is likely not meant.
	Warning Severity = "warning"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path and Line are those of a Position. Line is 0 if it is not known.
	Path    string `json:"path"`
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}

// Options are what a check knows besides the configuration.
type Options struct {
	// ZoneRegions holds the region of each availability zone; nil if the zones are not known.
	ZoneRegions map[string]string
	// InForce is the configuration in force; nil if it is not known.
	InForce *Configuration
}

// Check returns the findings in the order of their lines.
func Check(c *Configuration, options Options) []Finding {
	ch := &checker{config: c, options: options, services: make(map[string]*Service), used: make(map[string]bool), count: make(map[Severity]int)}
	ch.version()
	ch.indexServices()
	ch.routes()
	ch.limits()
	ch.serviceList()
	ch.workspaces()
	ch.regions()
	slices.SortStableFunc(ch.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	return ch.findings
}

// checker collects the findings of one configuration.
type checker struct {
	config   *Configuration
	options  Options
	findings []Finding
	// services holds the first service of each name, used the names that routes refer to.
	services map[string]*Service
	used     map[string]bool
	// count is the number of findings, including those that were not kept.
	count map[Severity]int
}

// maxFindings is the number of findings of each severity that are kept. A hostile file has several
// for each of its values.
const maxFindings = 5000

func (c *checker) add(s Severity, at Position, format string, args ...any) {
	switch c.count[s]++; {
	case c.count[s] == maxFindings:
		at, format, args = Position{}, "more findings of this severity are left out", nil
	case c.count[s] > maxFindings:
		return
	}
	c.findings = append(c.findings, Finding{s, at.Path, at.Line, fmt.Sprintf(format, args...)})
}

func (c *checker) error(at Position, format string, args ...any) {
	c.add(Error, at, format, args...)
}

func (c *checker) warn(at Position, format string, args ...any) {
	c.add(Warning, at, format, args...)
}

// positive reports a value that the file states and that is not above 0.
func positive[T int64 | float64 | time.Duration](c *checker, f Field[T]) {
	if f.Set && f.Value <= 0 {
		c.error(f.Position, "%v is not above 0", f.Value)
	}
}

// notNegative reports a value below 0, for fields in which 0 has a meaning.
func notNegative[T int64 | float64 | time.Duration](c *checker, f Field[T]) {
	if f.Value < 0 {
		c.error(f.Position, "%v is negative", f.Value)
	}
}

func (c *checker) version() {
	v, inForce := c.config.Version, c.options.InForce
	switch {
	case v.Value <= 0:
		c.error(v.Position, "no version above 0")
	case inForce != nil && v.Value <= inForce.Version.Value:
		c.error(v.Position, "version %d is not above that in force, %d: routers ignore it", v.Value, inForce.Version.Value)
	}
}

func (c *checker) indexServices() {
	for i := range c.config.Services {
		s := &c.config.Services[i]
		if first, ok := c.services[s.Name.Value]; ok {
			c.error(s.Name.Position, "service %s for the second time, first in %s", jsontree.Quote(s.Name.Value), first.Path)
			continue
		}
		c.services[s.Name.Value] = s
	}
}

// routeKey is what decides which of the routes with the longest prefix gets a request.
type routeKey struct {
	host, prefix string
}

func (c *checker) routes() {
	if len(c.config.Routes) == 0 {
		c.error(Position{"routes", 1}, "no routes: all requests are refused")
	}
	first, names := make(map[routeKey]*Route), make(map[string]*Route)
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		c.name(r.Name)
		if other, ok := names[r.Name.Value]; ok && r.Name.Value != "" {
			c.warn(r.Name.Position, "%s has the same name, which logs use", other.Path)
		} else {
			names[r.Name.Value] = r
		}
		key := routeKey{strings.ToLower(r.Host.Value), r.Prefix.Value}
		if other, ok := first[key]; ok {
			c.error(r.Prefix.Position, "matches no request: %s has the same host and prefix", other.Path)
		} else {
			first[key] = r
		}
		c.match(r)
		c.kind(r)
		c.routeServices(r)
		c.times(r)
	}
}

// name reports a missing name.
func (c *checker) name(f Field[string]) {
	if f.Value == "" {
		c.warn(f.Position, "no name")
	}
}

// match reports hosts and prefixes that no request has.
func (c *checker) match(r *Route) {
	host, prefix := r.Host.Value, r.Prefix.Value
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		c.error(r.Prefix.Position, "prefix %s does not begin and end with a slash", jsontree.Quote(prefix))
	} else if strings.ContainsFunc(prefix, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '?' || c == '#' }) {
		c.error(r.Prefix.Position, "matches no request: no path contains the prefix %s", jsontree.Quote(prefix))
	}
	table := routing.NewTable(0, []*routing.Route{{Host: host, Prefix: prefix}}, nil, routing.Limits{}, nil)
	_, matches := table.Match(host, prefix)
	switch {
	case host == "":
		c.error(r.Host.Position, "matches no request: no host")
	case !matches:
		c.error(r.Host.Position, "matches no request: the host %s has a port", jsontree.Quote(host))
	case strings.ContainsFunc(host, func(c rune) bool { return c <= ' ' || c == 0x7f || strings.ContainsRune("/?#@*", c) }):
		c.error(r.Host.Position, "matches no request: %s is no host name", jsontree.Quote(host))
	}
}

func (c *checker) kind(r *Route) {
	switch {
	case !r.Known:
		c.error(r.Kind.Position, "unknown kind %s: routers reject the configuration", jsontree.Quote(r.Kind.Value))
	case r.Resumable.Value && !r.Stream:
		c.error(r.Resumable.Position, "only streams can be resumed")
	case r.atMostOnce() && r.MaxAttempts.Value > 1:
		c.warn(r.MaxAttempts.Position, "requests that may have run are sent to one target, since they run at most once; %d applies to those that did not run",
			r.MaxAttempts.Value)
	case r.Resumable.Value && r.MaxAttempts.Value <= 1:
		c.warn(r.MaxAttempts.Position, "a broken stream does not continue: requests are sent to one target only")
	}
	notNegative(c, r.MaxAttempts)
}

func (c *checker) routeServices(r *Route) {
	if len(r.Split.Value) == 0 {
		c.service(r.Service)
		return
	}
	if r.Service.Value != "" {
		c.warn(r.Service.Position, "is not used, since the route divides its requests among several services")
	}
	sum := 0.0
	seen := make(map[string]bool)
	for _, s := range r.Split.Value {
		c.service(s.Service)
		if seen[s.Service.Value] {
			c.warn(s.Service.Position, "the route names the service twice")
		}
		seen[s.Service.Value] = true
		notNegative(c, s.Weight)
		sum += s.Weight.Value
	}
	switch {
	case sum == 0:
		c.error(r.Split.Position, "the weights sum to 0")
	case math.IsInf(sum, 0):
		c.error(r.Split.Position, "the sum of the weights is out of range")
	}
}

// service reports a reference to no service.
func (c *checker) service(f Field[string]) {
	c.used[f.Value] = true
	switch {
	case f.Value == "":
		c.error(f.Position, "no service")
	case c.services[f.Value] == nil:
		c.error(f.Position, "there is no service %s", jsontree.Quote(f.Value))
	}
}

// times reports durations of a route that contradict each other.
func (c *checker) times(r *Route) {
	positive(c, r.Timeout)
	positive(c, r.LatencyObjective)
	if r.Stream {
		positive(c, r.EventGapObjective)
	} else {
		notNegative(c, r.EventGapObjective)
	}
	limit, latency, gap := r.Timeout, r.LatencyObjective, r.EventGapObjective
	if !limit.Set {
		c.warn(limit.Position, "no time limit: that of the caller applies")
	}
	if !latency.Set {
		if (r.Repeatable || r.Stream && r.Resumable.Value) && r.MaxAttempts.Value > 1 {
			c.error(latency.Position, "no latency objective: attempts are given up at once and repeated")
		} else {
			c.warn(latency.Position, "no latency objective")
		}
	}
	if limit.Value > 0 && limit.Value < latency.Value {
		c.error(limit.Position, "the time limit of %v is below the latency objective of %v", limit.Value, latency.Value)
	}
	if limit.Value > 0 && limit.Value < gap.Value {
		c.error(gap.Position, "the event gap objective of %v is above the time limit of %v", gap.Value, limit.Value)
	}
	if gap.Value > 0 && r.Known && !r.Stream {
		c.warn(gap.Position, "is not used: only streams have events")
	}
}

func (c *checker) limits() {
	l := c.config.Limits
	positive(c, l.HeaderBytes)
	positive(c, l.BodyBytes)
	positive(c, l.HeaderTimeout)
	positive(c, l.IdleTimeout)
	engines := slices.ContainsFunc(c.config.Services, func(s Service) bool { return s.Engine != nil })
	switch {
	case l.TokensPerSecond.Value < 0:
		c.error(l.TokensPerSecond.Position, "%v is negative", l.TokensPerSecond.Value)
	case l.TokensPerSecond.Value == 0 && engines:
		c.error(l.TokensPerSecond.Position, "no throughput although there are engines: workspaces have nothing to share")
	}
}

func (c *checker) serviceList() {
	for i := range c.config.Services {
		s := &c.config.Services[i]
		c.name(s.Name)
		if s.Name.Value != "" && !c.used[s.Name.Value] {
			c.warn(s.Name.Position, "no route uses the service %s", jsontree.Quote(s.Name.Value))
		}
		notNegative(c, s.ColdStart)
		notNegative(c, s.ColdPerSecond)
		switch {
		case s.ColdStart.Value > 0 && s.ColdPerSecond.Value == 0:
			c.error(s.ColdPerSecond.Position, "no rate for cold targets although they are cold for %v", s.ColdStart.Value)
		case s.ColdPerSecond.Value > 0 && s.ColdStart.Value == 0:
			c.error(s.ColdStart.Position, "no time for which targets are cold although their rate is %v per second", s.ColdPerSecond.Value)
		}
		if e := s.Engine; e != nil {
			c.engine(e)
		}
	}
}

func (c *checker) engine(e *Engine) {
	if e.Slots.Value <= 0 {
		c.error(e.Slots.Position, "an engine without slots takes no requests")
	}
	positive(c, e.KVCacheTokens)
	positive(c, e.TokenBytes)
	notNegative(c, e.LinkMegabit)
	if e.LinkMegabit.Value > 0 && !e.TokenBytes.Set {
		c.warn(e.TokenBytes.Position, "no size of a token: copies between engines count as free")
	}
}
