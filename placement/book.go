package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveseam/chiveseam/breaker"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/rendezvous"
	"github.com/chiveseam/chiveseam/routing"
)

// Options are the settings of a Book.
type Options struct {
	// Router is the name of the router that owns the book.
	Router string
	// Zone is its availability zone.
	Zone string
	// ShareWindow is the time over which workspaces get their shares.
	ShareWindow time.Duration
	// PeerTimeout is the silence after which a router's loads are forgotten.
	PeerTimeout time.Duration
}

// Book is one router's view of targets and their load.
type Book struct {
	options  Options
	targets  map[string]*target
	byHash   map[uint32]*target
	services map[string]*service
	peers    map[string]*peerState
	// remote sums what the other routers have at each target, by hash.
	remote map[uint32]*remoteLoad
	shares *shares
	zones  *zones
	// news are prompt parts to be told to other routers.
	news []*v1.PartRead
	turn uint64
}

// service is what the targets of one service have in common.
type service struct {
	targets []*target
	model   speedModel
	slots   int
	kvTotal int
	// fetch is the time in ms to take one token from another engine's KV cache; 0
	// if that is not possible.
	fetch   float64
	holders holders
}

type target struct {
	routing.Target
	hash    uint32
	service *service
	running int
	unread  int
	pace    pace
	kept    *keptParts
	health  *breaker.Breaker
	faults  faultRate
	// stay is the mean time in ms that a request holds a slot.
	stay float64
	// seed is the same at all routers.
	seed uint64
	// remote is what the other routers have at this target.
	remote *remoteLoad
	// preference is this router's own order of targets that are equal, from 0 to 1.
	preference float64
	// measured is when slowness and faultShare were last worked out.
	measured   time.Time
	slowness   float64
	faultShare float64
	// turn is that of the last choice of this target.
	turn uint64
	// dirty is set if the next report has to tell this target's load, and unsettled if
	// it is to be told once more, since datagrams are lost now and then.
	dirty, unsettled bool
}

type remoteLoad struct {
	running, unread     int
	observed, predicted float64
}

// Hash is the name of a target or workspace in reports.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// New returns an empty book.
func New(o Options) *Book {
	return &Book{
		options:  o,
		targets:  make(map[string]*target),
		byHash:   make(map[uint32]*target),
		services: make(map[string]*service),
		peers:    make(map[string]*peerState),
		remote:   make(map[uint32]*remoteLoad),
		shares:   newShares(o.ShareWindow),
		zones:    newZones(o.Zone),
	}
}

// SetReportInterval sets the time between two reports of a router.
func (b *Book) SetReportInterval(d time.Duration) { b.zones.interval = d }

// SetServices takes the services of a configuration and the engines' total
// throughput in tokens a second, 0 if it is not stated.
func (b *Book) SetServices(list map[string]routing.Service, tokensPerSecond float64) {
	b.shares.capacity = tokensPerSecond
	for name, s := range list {
		if s.Engine == nil {
			continue
		}
		known := b.service(name)
		known.slots = s.Engine.Slots
		known.kvTotal = s.Engine.KVCacheTokens
		known.fetch = milliseconds(s.Engine.FetchTimePerToken)
		for _, t := range known.targets {
			t.kept.capacity = keptCapacity(known)
		}
	}
}

// keptShare is the part of an engine's KV cache that is taken as holding parts of
// earlier prompts; running requests have the rest.
const keptShare = 0.6

// keptUnknown is the capacity in tokens that is assumed of an engine that states
// none.
const keptUnknown = 200_000

func keptCapacity(s *service) int {
	if s.kvTotal == 0 {
		return keptUnknown
	}
	return int(keptShare * float64(s.kvTotal))
}

func (b *Book) service(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{holders: make(holders)}
		b.services[name] = s
	}
	return s
}

// SetTarget adds a target or takes what changed of it. What was learnt of it is
// kept unless it has started anew or serves another service.
func (b *Book) SetTarget(t routing.Target) {
	old, ok := b.targets[t.ID]
	if ok && old.StartedUnixMs == t.StartedUnixMs && old.Service == t.Service {
		old.Target = t
		return
	}
	if ok {
		b.RemoveTarget(t.ID)
	}
	s := b.service(t.Service)
	added := &target{
		Target:     t,
		hash:       Hash(t.ID),
		service:    s,
		seed:       xxhash.Sum64String(t.ID),
		remote:     b.remoteLoad(Hash(t.ID)),
		health:     newHealth(t.ID),
		preference: float64(uint32(rendezvous.Score(b.options.Router, t.ID))) / math.MaxUint32,
	}
	added.kept = newKeptParts(added, s.holders, keptCapacity(s))
	b.targets[t.ID] = added
	b.byHash[added.hash] = added
	s.targets = append(s.targets, added)
}

// RemoveTarget forgets a target.
func (b *Book) RemoveTarget(id string) {
	old, ok := b.targets[id]
	if !ok {
		return
	}
	delete(b.targets, id)
	delete(b.byHash, old.hash)
	old.kept.clear()
	list := old.service.targets
	for i, t := range list {
		if t == old {
			old.service.targets = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// Usable reports whether a service has a target that takes requests.
func (b *Book) Usable(serviceName string, now time.Time) bool {
	s, ok := b.services[serviceName]
	if !ok {
		return false
	}
	for _, t := range s.targets {
		if !t.Draining && t.health.Ready(now) {
			return true
		}
	}
	return false
}

func (t *target) load() (running, unread int) {
	return t.running + t.remote.running, t.unread + t.remote.unread
}

func (b *Book) remoteLoad(hash uint32) *remoteLoad {
	r, ok := b.remote[hash]
	if !ok {
		r = &remoteLoad{}
		b.remote[hash] = r
	}
	return r
}

// measureInterval is how long the slowness and faults of a target are used before
// they are worked out again.
const measureInterval = 50 * time.Millisecond

// measure works out how much slower than the others a target is, and the share of
// its requests that fail.
func (t *target) measure(now time.Time) {
	if now.Sub(t.measured) < measureInterval {
		return
	}
	t.measured = now
	t.pace.age(now)
	observed := t.pace.observed + t.remote.observed
	predicted := t.pace.predicted + t.remote.predicted
	t.slowness = min(max((observed+pacePrior)/(predicted+pacePrior), minFactor), maxFactor)
	t.faultShare = t.faults.rate(now)
}

// Bounds of a target's slowness against the others of its service.
const (
	minFactor = 0.25
	maxFactor = 10
)

// Age returns the age of the oldest report that the view rests on.
func (b *Book) Age(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range b.peers {
		oldest = max(oldest, now.Sub(p.received))
	}
	return oldest
}

// PeerNames returns the names of the other routers in the view.
func (b *Book) PeerNames() []string { return slices.Collect(maps.Keys(b.peers)) }
