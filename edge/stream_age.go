package edge

import (
	"slices"
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

const (
	// takeUpMargin is added to the timeout of a route for the age of a stream that a caller takes up.
	takeUpMargin = time.Second
	// tableDelay is the time in which a new configuration comes into force at all routers that reach the store.
	tableDelay = 2 * time.Second
)

// timeoutAge returns the greatest age of a stream of the route that a caller takes up, by its present timeout.
func timeoutAge(route *routing.Route) time.Duration {
	if route.Timeout <= 0 {
		return streams.Lifetime
	}
	return route.Timeout + takeUpMargin
}

// streamAges knows how old the streams of routes may be, also of those that began when timeouts were longer, and which could be resumed. It reads
// no clock and is not safe for concurrent use.
type streamAges struct {
	// past holds the ages by which present streams began, if they are above those of the present timeouts.
	past map[routeKey][]pastAge
	// resumableUntil is until when streams of routes may last that began while these could be resumed, if they cannot now.
	resumableUntil map[routeKey]time.Time
}

type routeKey struct{ host, prefix string }

func keyOf(r *routing.Route) routeKey { return routeKey{strings.ToLower(r.Host), r.Prefix} }

// pastAge is the greatest age of streams of which the last one may last until a time.
type pastAge struct {
	age   time.Duration
	until time.Time
}

// of returns the greatest age of a stream of the route that a caller takes up now.
func (s *streamAges) of(now time.Time, route *routing.Route) time.Duration {
	age := timeoutAge(route)
	for _, p := range s.past[keyOf(route)] {
		if now.Before(p.until) {
			age = max(age, p.age)
		}
	}
	return age
}

// mayHaveBeenResumable reports whether a stream of the route that a caller takes up now may have begun while the route could be resumed,
// as far as this router has had the configuration of that time.
func (s *streamAges) mayHaveBeenResumable(now time.Time, route *routing.Route) bool {
	return now.Before(s.resumableUntil[keyOf(route)])
}

// replaceTable records the ages of streams that began under a table which another one replaces now. old may be nil.
func (s *streamAges) replaceTable(now time.Time, old, next *routing.Table) {
	if old == nil {
		return
	}
	past, resumableUntil := make(map[routeKey][]pastAge), make(map[routeKey]time.Time)
	inherit := func(to, from *routing.Route) {
		until := s.resumableUntil[keyOf(from)]
		if from.RetryPolicy == routing.Resumable {
			until = now.Add(s.of(now, from) + tableDelay)
		}
		if to.RetryPolicy != routing.Resumable && until.After(now) && until.After(resumableUntil[keyOf(to)]) {
			resumableUntil[keyOf(to)] = until
		}
		ages := slices.Clone(s.past[keyOf(from)])
		if from.RetryPolicy == routing.Resumable {
			age := timeoutAge(from)
			ages = append(ages, pastAge{age, now.Add(age + tableDelay)})
		}
		for _, p := range ages {
			if now.Before(p.until) && p.age > timeoutAge(to) {
				past[keyOf(to)] = addAge(past[keyOf(to)], p)
			}
		}
	}
	// Paths of a route may have become those of another one with a shorter or a longer prefix.
	for from := range old.Routes() {
		if to, ok := next.Match(from.Host, from.Prefix); ok {
			inherit(to, from)
		}
	}
	for to := range next.Routes() {
		if from, ok := old.Match(to.Host, to.Prefix); ok {
			inherit(to, from)
		}
	}
	s.past, s.resumableUntil = past, resumableUntil
}

// addAge adds an age to a list, which then has none that another one covers.
func addAge(list []pastAge, added pastAge) []pastAge {
	covers := func(a, b pastAge) bool { return a.age >= b.age && !a.until.Before(b.until) }
	if slices.ContainsFunc(list, func(p pastAge) bool { return covers(p, added) }) {
		return list
	}
	return append(slices.DeleteFunc(list, func(p pastAge) bool { return covers(added, p) }), added)
}
