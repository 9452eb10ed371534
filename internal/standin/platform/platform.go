// Package platform stands in for the platform: it publishes a configuration
// and a list of instances that can be read and watched, and never written by
// readers.
//
// Readers use GET /v1/configuration and GET /v1/instances as package
// github.com/chiveseam/chiveseam/platform does. Tests and the demo publish and
// set faults through /control/.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Faults says how the platform misbehaves.
type Faults struct {
	// Outage refuses every read with 503.
	Outage bool `json:"outage"`
	// StaleRevision makes reads of the configuration see only revisions up to
	// it, also when the reader knows a newer one; 0 is off.
	StaleRevision uint64 `json:"stale_revision"`
	// LagMs is the time from publication to visibility, in milliseconds.
	LagMs int64 `json:"lag_ms"`
	// Rate is the number of calls allowed per second over all readers; 0 keeps
	// the current rate.
	Rate float64 `json:"rate"`
}

// Stats counts the calls of readers. A waiting watch counts as one call.
type Stats struct {
	Calls         uint64 `json:"calls"`
	Configuration uint64 `json:"configuration"`
	Instances     uint64 `json:"instances"`
	RateLimited   uint64 `json:"rate_limited"`
	Refused       uint64 `json:"refused"`
	Waiting       int    `json:"waiting"`
	// CallsPerSecond is the mean since the start.
	CallsPerSecond float64 `json:"calls_per_second"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu             sync.Mutex
	configurations history[*v1.PublishedConfiguration]
	lists          history[*v1.InstanceList]
	// changed is closed and replaced when a value or a fault changes.
	changed chan struct{}
	faults  Faults
	limiter limiter
	stats   Stats
	started time.Time
}

// DefaultRate is the number of calls per second over all readers.
const DefaultRate = 2000

// New returns a platform without values that allows rate calls per second.
func New(rate float64) *Server {
	now := time.Now()
	return &Server{
		changed: make(chan struct{}),
		limiter: newLimiter(rate, now),
		started: now,
	}
}

// PublishConfiguration publishes payload, a serialized v1.Configuration, under
// revision. Revision 0 takes the next one. It returns the revision.
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

// PublishInstances publishes list. A revision of 0 is replaced by the next
// one, a missing publication time by the present. A list without as_of is
// answered with the last time at which it was true. It returns the revision.
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

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Rate > 0 {
		s.limiter = newLimiter(f.Rate, time.Now())
	}
	s.notifyWatchersLocked()
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if elapsed := time.Since(s.started).Seconds(); elapsed > 0 {
		stats.CallsPerSecond = float64(stats.Calls) / elapsed
	}
	return stats
}

func (s *Server) notifyWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call and returns 0, or the status that refuses it.
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

// readFunc returns the visible value and whether to answer with it at once.
// wake is the time at which a value that is still hidden becomes visible.
type readFunc func(now time.Time) (value proto.Message, fresh bool, nextVisible time.Time)

// awaitValue waits until read has a fresh value or wait is over. It returns nil
// when there is nothing to answer with.
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

// sleepLocked releases the lock until something changed or d has passed.
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

// readConfigurationLocked returns a readFunc for a reader that knows after.
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

// readInstancesLocked returns a readFunc for a reader that knows after.
func (s *Server) readInstancesLocked(after uint64) readFunc {
	return func(now time.Time) (proto.Message, bool, time.Time) {
		entry, nextVisible, ok := s.lists.visible(now, s.lag(), 0)
		if !ok || entry.revision <= after {
			return nil, false, nextVisible
		}
		return withAsOf(entry.value, s.lists.validUntil(entry.revision, now.Add(-s.lag()))), true, nextVisible
	}
}

// withAsOf returns the list with the time at which it was true.
func withAsOf(list *v1.InstanceList, at time.Time) *v1.InstanceList {
	if list.AsOfUnixMs > 0 {
		return list
	}
	list = proto.CloneOf(list)
	list.AsOfUnixMs = at.UnixMilli()
	return list
}

func (s *Server) lag() time.Duration {
	return time.Duration(s.faults.LagMs) * time.Millisecond
}
