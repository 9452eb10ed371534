// Package state holds what the duties of a router read of each other: the
// configuration in force and the reachable part of the fleet. Both are
// immutable values that are replaced as a whole.
package state

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/rendezvous"
)

// Member is a router of the fleet.
type Member struct {
	Name         string
	Incarnation  uint64
	Zone         string
	Region       string
	PeerAddress  string
	EntryAddress string
	AdminAddress string
}

// Fleet is a router's view of the fleet.
type Fleet struct {
	Self Member
	// Reachable holds the routers that may take roles, Self included.
	Reachable []Member
	// Known holds all routers that are known with their addresses, by name,
	// reachable or not.
	Known map[string]Member
	// LeavingTargets holds the targets that must receive no new work.
	LeavingTargets map[config.ID]bool
}

// Equal reports whether two views are the same.
func (f *Fleet) Equal(other *Fleet) bool {
	return f.Self == other.Self &&
		slices.Equal(f.Reachable, other.Reachable) &&
		maps.Equal(f.Known, other.Known) &&
		maps.Equal(f.LeavingTargets, other.LeavingTargets)
}

// Member returns the reachable router with the name.
func (f *Fleet) Member(name string) (Member, bool) {
	for _, m := range f.Reachable {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// SchedulersOf ranks the reachable routers of the region for the scheduler
// role of the shard and returns the first n. The rank does not depend on the
// number of shards.
func (f *Fleet) SchedulersOf(shard config.Shard, region string, n int) []Member {
	role := "pool/" + shard.Pool + "/" + region
	if shard.Index > 0 {
		role += "/" + strconv.Itoa(shard.Index)
	}
	return f.ranked(role, region, n)
}

// ranked ranks the reachable routers of the region for a role.
func (f *Fleet) ranked(role, region string, n int) []Member {
	names := make([]string, 0, len(f.Reachable))
	byName := make(map[string]Member, len(f.Reachable))
	for _, m := range f.Reachable {
		if m.Region != region {
			continue
		}
		names = append(names, m.Name)
		byName[m.Name] = m
	}
	ranked := rendezvous.Rank(role, names, n)
	members := make([]Member, len(ranked))
	for i, name := range ranked {
		members[i] = byName[name]
	}
	return members
}

// Store publishes the configuration and the fleet. It is safe for concurrent
// use.
type Store struct {
	accepted atomic.Pointer[config.Accepted]
	fleet    atomic.Pointer[Fleet]

	mu          sync.Mutex
	subscribers []chan struct{}
}

// NewStore returns a store with a fleet of self alone and no configuration.
func NewStore(self Member) *Store {
	s := &Store{}
	s.fleet.Store(&Fleet{Self: self, Reachable: []Member{self}, Known: map[string]Member{self.Name: self}})
	return s
}

// Config returns the configuration in force, nil before the first.
func (s *Store) Config() *config.Accepted { return s.accepted.Load() }

// Fleet returns the current view; it is never nil.
func (s *Store) Fleet() *Fleet { return s.fleet.Load() }

// SetConfig puts a configuration in force.
func (s *Store) SetConfig(c *config.Accepted) {
	s.accepted.Store(c)
	s.notify()
}

// SetFleet replaces the view.
func (s *Store) SetFleet(f *Fleet) {
	s.fleet.Store(f)
	s.notify()
}

// Subscribe returns a channel that holds a value after changes. Several
// changes may be announced by one value.
func (s *Store) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, c)
	return c
}

func (s *Store) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
