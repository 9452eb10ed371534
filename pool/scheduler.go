package pool

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// unknownRetryAfter is the Retry-After of a workspace that the scheduler's
// configuration does not hold yet.
const unknownRetryAfter = time.Second

// Scheduler assigns the slots of a pool's targets to waiting demands.
//
// After each step, no free slot coexists with a waiting demand that may use
// it, except for Options.SettleTime after a start. Between workspaces the least
// counter of package fairshare goes first, within a workspace the earliest
// deadline. All state is soft: an empty Scheduler is rebuilt by TargetsChanged, WorkspacesChanged and RouterJoined,
// in this order. Lost, doubled, reordered and late events do no harm beyond
// the admission of more work than a target has slots, until the router joins
// again.
//
// A Scheduler is not safe for concurrent use. It starts no goroutine and reads
// no clock.
type Scheduler struct {
	options  Options
	now      time.Time
	counters *fairshare.Counters
	affinity *affinity
	timers   timerHeap

	workspaces map[config.ID]*workspace
	targets    map[config.ID]*target
	routers    map[Router]*router
	// incarnations holds the joined incarnation of each router.
	incarnations map[string]*router
	spares       spareSet
	settling     settling
	service      serviceRate
	predictor    predictor
	contents     map[uint32]*content
	// freed holds the contents that may admit a held copy in this step.
	freed   []*content
	remotes []*remoteRegion
	// untied holds the workspaces whose waiting demands may need ties.
	untied []*workspace
	// startedAt is the time of the first step; versions counts PeerCounters.
	startedAt time.Time
	versions  uint64

	// allotted holds the slots that may be used by target; nil allows all.
	allotted map[config.ID]int
	// yield holds the slots to give up by data centre, and yielded those that
	// were by target.
	yield   map[string]int
	yielded map[config.ID]int
	// slots counts the usable slots of targets that get new work by data centre.
	slots map[string]int
	// open holds the targets with a free slot.
	open []*target
	// touched holds the targets with slots that may have become usable.
	touched []*target
	// waiting counts the waiting demands.
	waiting int
	// order numbers demands by arrival.
	order   uint64
	granted uint64
	refused uint64
	actions []Action

	// candidate is the target that hasDemand tests.
	candidate *target
	hasDemand func(config.ID) bool
}

// New returns a scheduler without targets, workspaces and routers.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	s := &Scheduler{
		options: o,
		counters: fairshare.New(fairshare.Options{
			InitialCost: o.InitialCost,
			MaxLead:     o.MaxLead,
		}),
		affinity:     newAffinity(o.AffinityEntries),
		workspaces:   map[config.ID]*workspace{},
		targets:      map[config.ID]*target{},
		routers:      map[Router]*router{},
		incarnations: map[string]*router{},
		spares:       newSpareSet(o.Seed),
		contents:     map[uint32]*content{},
		slots:        map[string]int{},
		yielded:      map[config.ID]int{},
	}
	s.hasDemand = s.candidateHasDemand
	s.predictor.owner = &s.predictor
	return s
}

// Step lets time pass to now, takes in the event and returns what follows. A
// now before that of an earlier step counts as that. The returned slice is
// valid until the next call.
func (s *Scheduler) Step(now time.Time, event Event) []Action {
	s.actions = s.actions[:0]
	if now.After(s.now) {
		s.now = now
	}
	if s.startedAt.IsZero() {
		s.startedAt = s.now
	}
	s.fire()
	s.handle(event)
	s.admitHeld()
	s.dispatch()
	s.balanceSpares()
	s.tieWaiting()
	return s.actions
}

func (s *Scheduler) handle(event Event) {
	switch e := event.(type) {
	case Demand:
		s.demand(e)
	case Done:
		s.done(e)
	case Progress:
		s.progress(e)
	case FirstByte:
		s.firstByte(e)
	case Cancel:
		s.cancel(e)
	case SpareUsed:
		s.spareUsed(e)
	case SpareReturned:
		s.spareReturned(e)
	case TargetReport:
		s.targetReport(e)
	case RouterJoined:
		s.routerJoined(e)
	case RouterLost:
		s.routerLost(e)
	case TargetsChanged:
		s.setTargets(e.Targets)
		s.refuseUnservable()
	case WorkspacesChanged:
		s.setWorkspaces(e.Workspaces)
		s.refuseUnservable()
	case ConfigurationChanged:
		s.setWorkspaces(e.Workspaces)
		s.setTargets(e.Targets)
		s.refuseUnservable()
	case PeerCounters:
		s.peerCounters(e)
	case SlotsAllotted:
		s.allot(e)
	case RegionsChanged:
		s.setRegions(e.Regions)
	case Tick:
	}
}

// demand grants, queues or refuses a new demand, after those that wait for
// slots which came free in this step.
func (s *Scheduler) demand(e Demand) {
	d := s.newDemand(e)
	if d == nil {
		return
	}
	s.dispatch()
	if code := s.admissible(d, d.exclude); code != v1.Code_OK {
		s.refuse(d, code, s.retryAfter(d))
		return
	}
	if !s.hold(d) {
		s.seat(d)
	}
}

// seat grants a slot to a demand, or makes it wait for one.
func (s *Scheduler) seat(d *demand) {
	c := d.workspace.class(d.router.zone, d.exclude)
	if t := s.choose(d, c); t != nil {
		s.grant(d, t)
		return
	}
	s.enqueue(d, c)
}

// newDemand records a demand. It returns nil for a demand that is doubled,
// has ended, or came without an open stream, and for unknown workspaces.
func (s *Scheduler) newDemand(e Demand) *demand {
	r := s.routers[e.ID.Router]
	if r == nil || !r.joined || r.knows(e.ID.Seq) {
		return nil
	}
	w := s.workspaces[e.Workspace]
	if w == nil {
		s.refused++
		s.emit(Refuse{ID: e.ID, Code: v1.Code_NOT_READY, RetryAfter: unknownRetryAfter})
		return nil
	}
	s.order++
	d := &demand{
		id:        e.ID,
		router:    r,
		workspace: w,
		estimate:  e.Estimate,
		prefix:    e.Prefix,
		digest:    e.Digest,
		exclude:   sortedExclude(e.Exclude),
		bytes:     max(e.BodyBytes, 0),
		deadline:  s.capDeadline(e.Deadline),
		order:     s.order,
		moved:     e.Moved,
	}
	d.owner = d
	r.demands[e.ID.Seq] = d
	return d
}

func (s *Scheduler) capDeadline(deadline time.Time) time.Time {
	latest := s.now.Add(s.options.MaxWait)
	if deadline.IsZero() || deadline.After(latest) {
		return latest
	}
	return deadline
}

// sortedExclude returns a sorted copy of exclude, or nil.
func sortedExclude(exclude []config.ID) []config.ID {
	if len(exclude) == 0 {
		return nil
	}
	sorted := slices.Clone(exclude)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// admissible returns OK or the code of a refusal that needs no queue.
func (s *Scheduler) admissible(d *demand, exclude []config.ID) v1.Code {
	if !d.deadline.After(s.now) {
		return v1.Code_DEADLINE_EXCEEDED
	}
	if !s.servable(d.workspace, exclude) {
		return v1.Code_NO_TARGET
	}
	return v1.Code_OK
}

// servable tells whether any target could ever serve the demand.
func (s *Scheduler) servable(w *workspace, exclude []config.ID) bool {
	for _, t := range s.targets {
		if t.serves(w, exclude) {
			return true
		}
	}
	return false
}

// enqueue makes the demand wait, or refuses it at a bound.
func (s *Scheduler) enqueue(d *demand, c *class) {
	w := d.workspace
	if w.full(d.bytes) {
		s.refuse(d, v1.Code_QUEUE_FULL, s.retryAfter(d))
		return
	}
	if wait, ok := s.expectedWait(d); ok && s.now.Add(wait).After(d.deadline) {
		s.refuse(d, v1.Code_WAIT_EXCEEDS_DEADLINE, s.retryAfter(d))
		return
	}
	w.push(d, c)
	s.changed(w)
	s.waiting++
	s.counters.MarkBacklogged(w.ID)
	s.timers.set(&d.timer, d.deadline)
}

// cancel drops a waiting demand.
func (s *Scheduler) cancel(e Cancel) {
	r := s.routers[e.ID.Router]
	if r == nil {
		return
	}
	d := r.demands[e.ID.Seq]
	if d == nil {
		r.end(e.ID.Seq)
		return
	}
	if d.granted() {
		return
	}
	if len(d.ties) > 0 {
		d.workspace.taken++
	}
	s.unqueue(d)
	s.forget(d)
}

// progress charges the cost seen so far.
func (s *Scheduler) progress(e Progress) {
	d := s.find(e.ID)
	if d == nil || !d.granted() {
		return
	}
	d.seenAt = s.now
	d.prediction.Observe(s.now.Sub(d.grantedAt), e.Cost)
	s.counters.Progress(&d.charge, e.Cost)
	s.predict(d)
}

// find returns a demand by its ID, or nil.
func (s *Scheduler) find(id DemandID) *demand {
	r := s.routers[id.Router]
	if r == nil {
		return nil
	}
	return r.demands[id.Seq]
}
