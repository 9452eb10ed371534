// Package platform simulates the platform that publishes the configuration and the
// instance list of a deployment. Routers read and watch both; they never write them.
//
// Routers use GET /v1/configuration and GET /v1/instances through the client in package
// github.com/chiveseam/chiveseam/publisher. Tests and the demo publish values and set
// faults through /control/.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Faults configures how the platform misbehaves.
type Faults struct {
	// Outage refuses every read with status 503.
	Outage bool `json:"outage"`
	// StaleRevision, unless 0, hides all later revisions of the configuration, as an
	// outdated replica does. A reader that already has a later revision still gets an
	// older one.
	StaleRevision uint64 `json:"stale_revision"`
	// LagMs is the time from the publication of a value until readers see it, in
	// milliseconds.
	LagMs int64 `json:"lag_ms"`
	// Rate is the number of calls allowed per second over all readers; 0 keeps the
	// current rate.
	Rate float64 `json:"rate"`
}

// Stats counts the calls of readers. A watch counts as one call however long it waits.
type Stats struct {
	Calls         uint64 `json:"calls"`
	Configuration uint64 `json:"configuration"`
	Instances     uint64 `json:"instances"`
	RateLimited   uint64 `json:"rate_limited"`
	Refused       uint64 `json:"refused"`
	Waiting       int    `json:"waiting"`
	// CallsPerSecond is the mean since the server was created.
	CallsPerSecond float64 `json:"calls_per_second"`
}

// Server is a simulated platform. It is safe for concurrent use.
type Server struct {
	// mu guards all fields.
	mu             sync.Mutex
	configurations history[*v1.PublishedConfiguration]
	lists          history[*v1.InstanceList]
	// changed is closed and replaced when a value is published or the faults are set.
	changed chan struct{}
	faults  Faults
	limiter limiter
	stats   Stats
	started time.Time
}

// DefaultRate is the default number of calls allowed per second over all readers.
const DefaultRate = 2000

// New returns a platform that has published nothing and allows rate calls per second.
func New(rate float64) *Server {
	now := time.Now()
	return &Server{
		changed: make(chan struct{}),
		limiter: newLimiter(rate, now),
		started: now,
	}
}

// PublishConfiguration publishes payload, a serialized v1.Configuration, under revision,
// or under the next revision if it is 0. It returns the revision.
func (s *Server) PublishConfiguration(revision uint64, payload []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 {
		revision = s.configurations.lastRevision() + 1
	}
	value := &v1.PublishedConfiguration{Revision: revision, Payload: payload}
	s.configurations.add(revision, value, time.Now())
	s.notifyWatchersLocked()
	return revision
}

// PublishInstances publishes a copy of list and returns its revision. A revision of 0 is
// replaced by the next one, and a missing publication time by the current time. If list
// has no as_of_unix_ms, readers get the latest time at which it was the current list.
func (s *Server) PublishInstances(list *v1.InstanceList) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	list = proto.CloneOf(list)
	if list.Revision == 0 {
		list.Revision = s.lists.lastRevision() + 1
	}
	if list.PublishedUnixMs == 0 {
		list.PublishedUnixMs = now.UnixMilli()
	}
	s.lists.add(list.Revision, list, now)
	s.notifyWatchersLocked()
	return list.Revision
}

// SetFaults replaces the faults, and the rate limit if f has a rate.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Rate > 0 {
		s.limiter = newLimiter(f.Rate, time.Now())
	}
	s.notifyWatchersLocked()
}

// Stats returns the counts since the server was created.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if elapsed := time.Since(s.started).Seconds(); elapsed > 0 {
		stats.CallsPerSecond = float64(stats.Calls) / elapsed
	}
	return stats
}

// notifyWatchersLocked makes all waiting reads check their value again. The caller holds
// mu.
func (s *Server) notifyWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a read in the statistics and in counter. It returns 0, or the HTTP status
// with which to refuse the read.
func (s *Server) admit(counter *uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls++
	*counter++
	if s.faults.Outage {
		s.stats.Refused++
		return http.StatusServiceUnavailable
	}
	if !s.limiter.allow(time.Now()) {
		s.stats.RateLimited++
		return http.StatusTooManyRequests
	}
	return 0
}

// readFunc returns the value to answer with at the given time, nil for none. fresh is
// set if the answer must not wait any longer. nextVisible is the time at which a value
// that the lag still hides becomes visible, or zero. It is called with mu held.
type readFunc func(now time.Time) (value proto.Message, fresh bool, nextVisible time.Time)

// awaitValue waits until read returns a fresh value, wait is over or ctx ends. It
// returns the last value read, nil if there is nothing to answer with.
func (s *Server) awaitValue(ctx context.Context, wait time.Duration, read readFunc) proto.Message {
	deadline := time.Now().Add(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Waiting++
	defer func() { s.stats.Waiting-- }()
	for {
		now := time.Now()
		value, fresh, nextVisible := read(now)
		if fresh || !now.Before(deadline) || ctx.Err() != nil {
			return value
		}
		if nextVisible.IsZero() || nextVisible.After(deadline) {
			nextVisible = deadline
		}
		s.sleepLocked(ctx, nextVisible.Sub(now))
	}
}

// sleepLocked releases mu until a value or the faults change, d has passed or ctx ends.
// The caller holds mu, and holds it again afterwards.
func (s *Server) sleepLocked(ctx context.Context, d time.Duration) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readConfigurationLocked returns the readFunc for a reader that has the configuration
// of revision after. With StaleRevision, it returns an older configuration too, but lets
// the read wait for a newer one first.
func (s *Server) readConfigurationLocked(after uint64) readFunc {
	return func(now time.Time) (proto.Message, bool, time.Time) {
		maxRevision := s.faults.StaleRevision
		entry, nextVisible, ok := s.configurations.visible(now, s.lag(), maxRevision)
		if !ok {
			return nil, false, nextVisible
		}
		if entry.revision > after {
			return entry.value, true, nextVisible
		}
		if maxRevision > 0 && entry.revision < after {
			return entry.value, false, nextVisible
		}
		return nil, false, nextVisible
	}
}

// readInstancesLocked returns the readFunc for a reader that has the instance list of
// revision after.
func (s *Server) readInstancesLocked(after uint64) readFunc {
	return func(now time.Time) (proto.Message, bool, time.Time) {
		entry, nextVisible, ok := s.lists.visible(now, s.lag(), 0)
		if !ok || entry.revision <= after {
			return nil, false, nextVisible
		}
		return withAsOf(entry.value, s.lists.validUntil(entry.revision, now.Add(-s.lag()))), true, nextVisible
	}
}

// withAsOf returns list if it has an as_of_unix_ms, and a copy with the time at
// otherwise.
func withAsOf(list *v1.InstanceList, at time.Time) *v1.InstanceList {
	if list.AsOfUnixMs > 0 {
		return list
	}
	list = proto.CloneOf(list)
	list.AsOfUnixMs = at.UnixMilli()
	return list
}

// lag returns the time from publication to visibility. The caller holds mu.
func (s *Server) lag() time.Duration {
	return time.Duration(s.faults.LagMs) * time.Millisecond
}
