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
	"github.com/chiveseam/chiveseam/targetload"
)

// Options are the settings of a Balancer.
type Options struct {
	// Router is the name of the router that uses the Balancer.
	Router string
	// Zone is the availability zone of this router.
	Zone string
	// ShareWindow is the length of the sliding window over which the use of workspaces is
	// compared with their shares.
	ShareWindow time.Duration
	// PeerTimeout is the time without reports after which the load of another router is
	// removed from the view.
	PeerTimeout time.Duration
	// ZoneRegions holds the region of each availability zone.
	ZoneRegions map[string]string
	// Started is when the router started.
	Started time.Time
	// Seeded is set if the router knows addresses of other ones from its settings: until it hears one, it may be cut off.
	Seeded bool
	// ColdOverage and ColdSlack bound the requests that a cold target gets in any second, from all
	// routers: ColdOverage times the rate of its service, and ColdSlack more.
	ColdOverage, ColdSlack float64
	// PrefixWeighing turns on the model of engines' memory, and the weighing of cached prompt parts by
	// it, for services whose configuration states the size of the KV cache.
	PrefixWeighing bool
}

// Balancer chooses targets for the requests of one router. It holds the router's view of the
// targets and of the load of the whole fleet at them. It is not safe for concurrent use.
type Balancer struct {
	options Options
	// targets holds the targets by ID, byHash the same by the Hash of their IDs.
	targets  map[string]*target
	byHash   map[uint32]*target
	services map[string]*service
	// peers holds the latest reports of the other routers, by router name.
	peers map[string]*peerState
	// remote holds the sum of the loads that the other routers reported for each target,
	// by the Hash of the target's ID.
	remote map[uint32]*remoteLoad
	shares *shares
	// limits are the reasons for which targets provide less than their throughput.
	limits []throughputLimit
	zones  *zones
	// leaving holds the targets that told a router that they leave.
	leaving leavingTargets
	// removed holds what removed targets asked for.
	removed removedTargets
	fleet   fleet
	// evacuated holds the zones to whose targets nothing is sent.
	evacuated evacuatedZones
	// unreportedParts are the prompt parts that the next reports to other routers name.
	unreportedParts []*v1.PartRead
	// choices counts the chosen targets.
	choices uint64
	// changes counts the requests that were sent to targets, the targets that were removed and the zones
	// that were evacuated or taken back: earlier searches no longer hold then.
	changes uint64
	// routerHash is the Hash of this router's name.
	routerHash uint32
}

// service holds the state that the targets of one service share.
type service struct {
	targets []*target
	// engines is set if the targets are model engines.
	engines bool
	// model predicts the time to the first token from samples of all targets.
	model speedModel
	// slots is the number of requests that one engine runs at a time, and kvTokens the
	// capacity of its KV cache in tokens; 0 if the configuration does not state them.
	slots    int
	kvTokens int
	// fetchPerToken is the time in ms to fetch one token from another engine's KV cache; 0
	// if engines cannot fetch.
	fetchPerToken float64
	// weighing is set if cached parts are weighed by a model of the engines' memory.
	weighing bool
	means    requestMeans
	// settledAt is when the models of all engines were last brought up to date.
	settledAt time.Time
	// holders maps each prompt part to the targets that have it in their KV cache.
	holders holders
	cold    coldService
	// pacedUntil is the time until which the paces that targets of the service state count; zero if
	// none has stated any.
	pacedUntil time.Time
}

// target is a registered target with its load, cached parts and health as this router sees them.
type target struct {
	routing.Target
	// hash is the Hash of the ID, which names the target in reports.
	hash uint32
	// versionHash is the VersionHash of its software.
	versionHash uint32
	service     *service
	// running is the number of this router's requests at the target, and unread the number
	// of their prompt tokens that the target has not processed yet.
	running      int
	unread       int
	latencyRatio latencyRatio
	cache        *partCache
	breaker      *breaker.Breaker
	faults       faultRate
	// leaving is set once the target has told a router that it leaves.
	leaving bool
	// pausedUntil is the time until which the target wants no requests from this router.
	pausedUntil time.Time
	rateLimit   rateLimit
	cold        coldTarget
	// statedLoad is what the target states of its load.
	statedLoad targetload.Load
	// runningAtAnswer is the value of running at the last answer that stated the load.
	runningAtAnswer int
	// slotTime is the moving mean of the time in ms that a request holds a slot; 0 before
	// the first request has succeeded.
	slotTime float64
	// idHash is the 64-bit hash of the ID, which is the same at all routers.
	idHash uint64
	// remote is the sum of the loads that the other routers reported for this target.
	remote *remoteLoad
	// preference, from 0 to 1, is a hash of this router and the target: the smaller it is,
	// the more this router prefers the target to others of equal cost.
	preference float64
	// measuredAt is when slowness and faultShare were last computed.
	measuredAt time.Time
	// slowness is the ratio of the target's times to the first token to those that the model
	// of its service predicts, and faultShare the decayed share of its requests that fail.
	slowness   float64
	faultShare float64
	// speed is the long-term mean of 1/slowness; 0 before there were enough requests.
	speed float64
	// lastChoice is the value of Balancer.choices when this target was last chosen.
	lastChoice uint64
	// reportDue is set if the target's load changed since the last report. reportAgain is set
	// until the changed load has been reported once more, since datagrams are lost now and then.
	reportDue, reportAgain bool
}

// remoteLoad is the load of one target as the other routers reported it. The fields have the
// meaning of the columns of v1.TargetLoads.
type remoteLoad struct {
	running, unread     int
	observed, predicted float64
}

// Hash returns the hash by which load reports name a target or a workspace.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// New returns a Balancer without services and targets.
func New(o Options) *Balancer {
	b := &Balancer{
		options:    o,
		targets:    make(map[string]*target),
		byHash:     make(map[uint32]*target),
		services:   make(map[string]*service),
		peers:      make(map[string]*peerState),
		remote:     make(map[uint32]*remoteLoad),
		shares:     newShares(o.ShareWindow),
		zones:      newZones(o.Zone),
		leaving:    newLeavingTargets(),
		removed:    make(removedTargets),
		fleet:      newFleet(o.Router),
		evacuated:  newEvacuatedZones(),
		routerHash: Hash(o.Router),
	}
	b.limits = b.throughputLimits()
	b.shares.availableThroughput = b.availableThroughput
	return b
}

// SetReportInterval sets the time between two load reports of a router.
func (b *Balancer) SetReportInterval(d time.Duration) { b.zones.interval = d }

// SetServices applies the engine settings of a configuration's services, and the total
// throughput of all engines in tokens per second; 0 if the configuration does not state it.
func (b *Balancer) SetServices(list map[string]routing.Service, tokensPerSecond float64) {
	b.shares.capacity = tokensPerSecond
	b.setColdLimits(list)
	for name, s := range list {
		if s.Engine == nil {
			continue
		}
		known := b.service(name)
		known.engines = true
		known.slots = s.Engine.Slots
		known.kvTokens = s.Engine.KVCacheTokens
		known.weighing = b.options.PrefixWeighing && known.kvTokens > 0
		known.fetchPerToken = milliseconds(s.Engine.FetchTimePerToken)
		for _, t := range known.targets {
			t.cache.capacity = cacheCapacity(known)
			t.cache.setMemory(known)
		}
	}
}

// cachedPartsShare is the part of an engine's KV cache that is assumed to hold the prompts of
// earlier requests; running requests use the rest.
const cachedPartsShare = 0.6

// defaultCacheTokens is the number of tokens of earlier prompts that an engine is assumed to
// cache if the configuration does not state the size of its KV cache.
const defaultCacheTokens = 200_000

// cacheCapacity returns the number of tokens of earlier prompts that an engine of the service
// is assumed to cache.
func cacheCapacity(s *service) int {
	if s.kvTokens == 0 {
		return defaultCacheTokens
	}
	return int(cachedPartsShare * float64(s.kvTokens))
}

// service returns the service with a name, and adds it if it is unknown.
func (b *Balancer) service(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{holders: make(holders)}
		b.services[name] = s
	}
	return s
}

// SetTarget adds a target or updates its registration. An update keeps the target's load,
// cached parts and health, unless the target has restarted or has another service or version.
func (b *Balancer) SetTarget(t routing.Target) {
	old, ok := b.targets[t.ID]
	if ok && old.StartedUnixMs == t.StartedUnixMs && old.Service == t.Service && old.Version == t.Version {
		old.Target = t
		return
	}
	if ok {
		b.RemoveTarget(t.ID)
	}
	s := b.service(t.Service)
	added := &target{
		Target:      t,
		hash:        Hash(t.ID),
		versionHash: VersionHash(t.Version),
		service:     s,
		idHash:      xxhash.Sum64String(t.ID),
		remote:      b.remoteLoad(Hash(t.ID)),
		breaker:     newBreaker(t.ID),
		rateLimit:   rateLimit{perSecond: math.Inf(1)},
		preference:  float64(uint32(rendezvous.Score(b.options.Router, t.ID))) / math.MaxUint32,
	}
	added.cold.Hash = added.idHash
	_, added.leaving = b.leaving.heard[added.incarnation()]
	b.removed.restore(added)
	added.cache = newPartCache(added, s.holders, cacheCapacity(s))
	if ok && s.cold.limits.Enabled() {
		// The other routers must not take the load that the target had before its restart for its load now.
		added.markChanged()
	}
	added.cache.setMemory(s)
	b.targets[t.ID] = added
	b.byHash[added.hash] = added
	s.targets = append(s.targets, added)
}

// RemoveTarget removes a target. It has no effect if the target is unknown.
func (b *Balancer) RemoveTarget(id string) {
	old, ok := b.targets[id]
	if !ok {
		return
	}
	b.changes++
	b.removed.remember(old)
	delete(b.targets, id)
	delete(b.byHash, old.hash)
	old.cache.clear()
	list := old.service.targets
	for i, t := range list {
		if t == old {
			old.service.targets = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// HasUsableTarget reports whether a service has a target that may get requests.
func (b *Balancer) HasUsableTarget(serviceName string, now time.Time) bool {
	return b.HasUsableTargetIn(nil, serviceName, 0, now)
}

// HasUsableTargetIn reports whether a service has a target in one of the regions, and of the version with a VersionHash, that
// may get requests; 0 stands for any version.
func (b *Balancer) HasUsableTargetIn(regions routing.Regions, serviceName string, version uint32, now time.Time) bool {
	s, ok := b.services[serviceName]
	if !ok {
		return false
	}
	for _, t := range s.targets {
		if t.hasVersion(version) && b.allows(regions, t) && b.availability(now, t).reason == Eligible {
			return true
		}
	}
	return false
}

// HasAlternative reports whether a service has a target, besides those that d excludes, that a request may go on at, now or once it
// is ready: one in the regions of d and of the version with a VersionHash that serves on.
func (b *Balancer) HasAlternative(d *Demand, version uint32) bool {
	s, ok := b.services[d.Service]
	return ok && slices.ContainsFunc(s.targets, func(t *target) bool {
		stays := !t.Draining && !t.leaving && !b.evacuated.zones[t.Zone]
		return stays && t.hasVersion(version) && b.allows(d.Regions, t) && (d.Excluded == nil || !d.Excluded(t.ID))
	})
}

// load returns the number of requests of all routers at the target, and the number of their
// prompt tokens that it has not processed yet.
func (t *target) load() (running, unread int) {
	return t.running + t.remote.running, t.unread + t.remote.unread
}

// remoteLoad returns the load that the other routers reported for a target. Reports may name
// a target before this router knows it, so loads are kept by hash.
func (b *Balancer) remoteLoad(hash uint32) *remoteLoad {
	r, ok := b.remote[hash]
	if !ok {
		r = &remoteLoad{}
		b.remote[hash] = r
	}
	return r
}

// measureInterval is the time between two computations of a target's slowness and faultShare.
const measureInterval = 50 * time.Millisecond

// measure updates slowness and faultShare if they are older than measureInterval.
func (t *target) measure(now time.Time) {
	if now.Sub(t.measuredAt) < measureInterval {
		return
	}
	elapsed := now.Sub(t.measuredAt)
	t.measuredAt = now
	if t.cache.memory != nil {
		t.cache.memory.settle(now)
	}
	t.latencyRatio.age(now)
	observed := t.latencyRatio.observed + t.remote.observed
	predicted := t.latencyRatio.predicted + t.remote.predicted
	prior := latencyRatioPriorMs
	if observed < predicted {
		prior = fastRatioPriorMs
	}
	t.slowness = min(max((observed+prior)/(predicted+prior), minSlowness), maxSlowness)
	t.faultShare = t.faults.rate(now)
	t.learnSpeed(elapsed, predicted)
}

// Bounds of target.slowness.
const (
	minSlowness = 0.25
	maxSlowness = 10
)

// ViewAge returns the time since the latest report of that router in the view that has not
// reported for longest; 0 if there are no other routers.
func (b *Balancer) ViewAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range b.peers {
		oldest = max(oldest, now.Sub(p.received))
	}
	return oldest
}

// PeerNames returns the names of the other routers in the view.
func (b *Balancer) PeerNames() []string { return slices.Collect(maps.Keys(b.peers)) }
