// Package state holds the data that the components of a router share: the
// configuration in force and the router's view of the fleet. Both are immutable
// values that are replaced as a whole, so that readers need no lock.
//
// The package also assigns roles, such as scheduler and dealer, to routers by
// rendezvous hashing (package rendezvous). Routers with the same view of the
// fleet make the same assignment without exchanging messages.
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

// Member is a router process of the fleet.
type Member struct {
	Name string
	// Incarnation identifies this run of the process. A restart changes it.
	Incarnation uint64
	// Zone is the availability zone and Region its region.
	Zone   string
	Region string
	// PeerAddress serves other routers, EntryAddress callers and AdminAddress
	// operators. All are host:port.
	PeerAddress  string
	EntryAddress string
	AdminAddress string
}

// Fleet is one router's view of the fleet. It must not be modified once it was
// passed to Store.SetFleet.
type Fleet struct {
	// Self is the router that holds this view.
	Self Member
	// Reachable holds the routers that may take roles, including Self.
	Reachable []Member
	// Known holds all routers whose addresses are known, reachable or not, by
	// name.
	Known map[string]Member
	// LeavingTargets holds the IDs of the targets that must receive no new
	// requests because they are leaving.
	LeavingTargets map[config.ID]bool
}

// Equal reports whether both views have the same content, with the reachable
// routers in the same order.
func (f *Fleet) Equal(other *Fleet) bool {
	return f.Self == other.Self &&
		slices.Equal(f.Reachable, other.Reachable) &&
		maps.Equal(f.Known, other.Known) &&
		maps.Equal(f.LeavingTargets, other.LeavingTargets)
}

// Member returns the reachable router with the name. It returns false if there
// is none.
func (f *Fleet) Member(name string) (Member, bool) {
	for _, m := range f.Reachable {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// SchedulersOf returns the n highest-ranked reachable routers of the region for
// the role of scheduling the shard, highest first, or all if there are fewer. The
// ranking depends on the shard's pool and index, but not on the number of shards.
func (f *Fleet) SchedulersOf(shard config.Shard, region string, n int) []Member {
	role := "pool/" + shard.Pool + "/" + region
	if shard.Index > 0 {
		role += "/" + strconv.Itoa(shard.Index)
	}
	return f.rankRouters(role, region, n)
}

// rankRouters returns the n highest-ranked reachable routers of the region for
// a role, highest first, or all if there are fewer. role is the rendezvous key.
func (f *Fleet) rankRouters(role, region string, n int) []Member {
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

// Store publishes the configuration and the view of the fleet to the components
// of a router. It is safe for concurrent use.
type Store struct {
	accepted atomic.Pointer[config.Accepted]
	fleet    atomic.Pointer[Fleet]

	mu sync.Mutex
	// subscribers is guarded by mu.
	subscribers []chan struct{}
}

// NewStore returns a store whose fleet consists of self and which has no
// configuration.
func NewStore(self Member) *Store {
	s := &Store{}
	s.fleet.Store(&Fleet{Self: self, Reachable: []Member{self}, Known: map[string]Member{self.Name: self}})
	return s
}

// Config returns the configuration in force, nil before the first SetConfig.
func (s *Store) Config() *config.Accepted { return s.accepted.Load() }

// Fleet returns the current view of the fleet, which is never nil.
func (s *Store) Fleet() *Fleet { return s.fleet.Load() }

// SetConfig puts a configuration in force and notifies the subscribers.
func (s *Store) SetConfig(c *config.Accepted) {
	s.accepted.Store(c)
	s.notify()
}

// SetFleet replaces the view of the fleet and notifies the subscribers.
func (s *Store) SetFleet(f *Fleet) {
	s.fleet.Store(f)
	s.notify()
}

// Subscribe returns a channel that receives a value after the configuration or
// the view of the fleet was set. One value may stand for several changes.
func (s *Store) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, c)
	return c
}

// notify sends a value to each subscriber whose channel is empty. It does not
// block.
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
