package orders

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/rendezvous"
)

// Sender decides about the orders of one router. It is not safe for concurrent
// use.
type Sender struct {
	self    string
	opts    Options
	plan    *Plan
	routers []Router
	leaving map[string]bool
	// lastTick is the time of the last Tick.
	lastTick time.Time
	shards   []shard
	engines  map[string]*engine
	attempts uint64
	draws    uint64
}

// shard is the sender's side of a Shard.
type shard struct {
	held bool
	// readyAt is the end of the time to settle.
	readyAt time.Time
	// loadAt is the time from which the rate permits the next load.
	loadAt time.Time
}

// New returns the Sender of the router with the name.
func New(self string, opts Options) *Sender {
	return &Sender{self: self, opts: opts.withDefaults(), engines: map[string]*engine{}}
}

// Step takes an event in and returns what is to be done. The results of the
// actions are due as events.
func (s *Sender) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		s.tick(now, e)
	case QueryEnded:
		s.queryEnded(now, e)
	case OrderEnded:
		s.orderEnded(now, e)
	}
	return s.act(now)
}

func (s *Sender) tick(now time.Time, t Tick) {
	paused := !s.lastTick.IsZero() && now.Sub(s.lastTick) > s.opts.MaxPause
	s.lastTick = now
	s.routers = t.Routers
	s.leaving = t.Leaving
	s.setPlan(t.Plan)
	if s.plan == nil {
		return
	}
	for i := range s.shards {
		s.updateRole(now, i, paused)
	}
}

func (s *Sender) setPlan(plan *Plan) {
	if plan == nil || plan == s.plan {
		return
	}
	if s.plan != nil && plan.Revision < s.plan.Revision {
		return
	}
	if s.plan == nil || !slices.EqualFunc(s.plan.Shards, plan.Shards, Shard.equal) {
		s.shards = make([]shard, len(plan.Shards))
	}
	s.plan = plan
	planned := map[string]bool{}
	for i := range plan.Engines {
		desired := &plan.Engines[i]
		planned[desired.Name] = true
		s.engine(desired.Name).setDesired(desired)
	}
	for name, e := range s.engines {
		if !planned[name] && e.order == nil {
			delete(s.engines, name)
		}
	}
}

func (s Shard) equal(other Shard) bool {
	return slices.Equal(s.Regions, other.Regions) &&
		s.MaxLoads == other.MaxLoads &&
		s.BytesPerSecond == other.BytesPerSecond
}

func (s *Sender) engine(name string) *engine {
	e, ok := s.engines[name]
	if !ok {
		e = &engine{}
		s.engines[name] = e
	}
	return e
}

// updateRole decides whether the router is the sender of a shard.
func (s *Sender) updateRole(now time.Time, index int, paused bool) {
	sh := &s.shards[index]
	held := s.holds(s.plan.Shards[index])
	if held && (!sh.held || paused) {
		sh.readyAt = now.Add(s.opts.Settle)
		sh.loadAt = sh.readyAt.Add(s.longestRead(index))
		s.queryAll(now, index)
	}
	sh.held = held
}

const roleKeyPrefix = "orders/"

func (s *Sender) holds(sh Shard) bool {
	names := s.candidates(sh.Regions)
	owner, ok := rendezvous.Owner(roleKeyPrefix+strings.Join(sh.Regions, ","), names)
	return ok && owner == s.self
}

// candidates returns the routers of the regions, or all routers if the regions
// have none.
func (s *Sender) candidates(regions []string) []string {
	var near, all []string
	for _, r := range s.routers {
		all = append(all, r.Name)
		if slices.Contains(regions, r.Region) {
			near = append(near, r.Name)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

// longestRead returns the read time of the largest load of the shard.
func (s *Sender) longestRead(index int) time.Duration {
	var longest time.Duration
	for i := range s.plan.Engines {
		e := &s.plan.Engines[i]
		if e.Shard == index {
			longest = max(longest, readTime(e.WeightBytes, s.plan.Shards[index].BytesPerSecond))
		}
	}
	return longest
}

func (s *Sender) queryAll(now time.Time, index int) {
	for i := range s.plan.Engines {
		if s.plan.Engines[i].Shard == index {
			s.engine(s.plan.Engines[i].Name).queryAt = now
		}
	}
}

// act returns the orders and queries that are due. A view that may be out of
// date permits none.
func (s *Sender) act(now time.Time) []Action {
	s.expire(now)
	if s.plan == nil || now.Sub(s.lastTick) > s.opts.MaxPause {
		return nil
	}
	var actions []Action
	for i := range s.shards {
		if !s.shards[i].held {
			continue
		}
		if !now.Before(s.shards[i].readyAt) {
			actions = append(actions, s.sendOrders(now, i)...)
		}
		actions = append(actions, s.sendQueries(now, i)...)
	}
	return actions
}

func (s *Sender) attempt() uint64 {
	s.attempts++
	return s.attempts
}

// jitter draws a duration from zero to the limit, both excluded.
func (s *Sender) jitter(limit time.Duration) time.Duration {
	s.draws++
	source := rand.New(rand.NewPCG(s.opts.Seed, s.draws))
	return 1 + time.Duration(source.Int64N(int64(limit)))
}

// retryDelay returns the delay after consecutive failures, with full jitter.
func (s *Sender) retryDelay(failures int) time.Duration {
	limit := s.opts.BaseDelay
	for i := 1; i < failures && limit < s.opts.MaxDelay; i++ {
		limit *= 2
	}
	return s.jitter(min(limit, s.opts.MaxDelay))
}
