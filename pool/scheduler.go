package pool

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// unknownRetryAfter is Refuse.RetryAfter for a demand of a workspace that is not
// yet in the scheduler's configuration.
const unknownRetryAfter = time.Second

// Scheduler assigns the slots of a pool's targets to waiting demands.
//
// It is work-conserving: after each step, no waiting demand may use a free slot,
// except for Options.SettleTime after a start. The workspace with the least
// counter of package fairshare goes first, and within it the demand with the
// earliest deadline. All state is soft: TargetsChanged, WorkspacesChanged and
// RouterJoined, in this order, rebuild it in an empty Scheduler. Lost,
// duplicated, reordered and late events do no harm, except that more requests
// may run on a target than it has slots until the router joins again.
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
	// joinedRouters maps the name of a router to its joined incarnation.
	joinedRouters map[string]*router
	spares        spareSet
	settling      settling
	service       serviceRate
	predictor     predictor
	copyGroups    map[uint32]*copyGroup
	// copyGroupsToRecheck holds the copy groups that may admit a held copy at
	// the end of this step.
	copyGroupsToRecheck []*copyGroup
	remotes             []*remoteRegion
	// tieCandidates holds the workspaces whose waiting demands may need ties at
	// the end of this step.
	tieCandidates []*workspace
	// startedAt is the time of the first step, and the epoch of PeerCounters.
	// peerVersion is the version of the last PeerCounters.
	startedAt   time.Time
	peerVersion uint64

	// allotted is the number of slots that may be used, by target; nil allows
	// all.
	allotted map[config.ID]int
	// slotsToYield is the number of slots that are still to be given up, by data
	// centre. yieldedSlots is the number that were given up since the last
	// SlotsAllotted, by target.
	slotsToYield map[string]int
	yieldedSlots map[config.ID]int
	// slotsByDataCentre counts the usable slots of the targets that accept new
	// requests. The empty key counts those of all data centres.
	slotsByDataCentre map[string]int
	// freeTargets holds the targets that accept new requests and have a free
	// slot, in no order.
	freeTargets []*target
	// dispatchTargets holds the targets with slots that may have become usable
	// since the last dispatch.
	dispatchTargets []*target
	// waiting counts the demands in the queues of all workspaces.
	waiting int
	// arrivals counts the demands that arrived. It is demand.arrival of the last.
	arrivals     uint64
	grantCount   uint64
	refusalCount uint64
	actions      []Action

	// candidate is the target for which hasDemand tests a workspace. hasDemand
	// holds the method value candidateHasDemand.
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
		affinity:          newAffinity(o.AffinityEntries),
		workspaces:        map[config.ID]*workspace{},
		targets:           map[config.ID]*target{},
		routers:           map[Router]*router{},
		joinedRouters:     map[string]*router{},
		spares:            newSpareSet(o.Seed),
		copyGroups:        map[uint32]*copyGroup{},
		slotsByDataCentre: map[string]int{},
		yieldedSlots:      map[config.ID]int{},
	}
	s.hasDemand = s.candidateHasDemand
	s.predictor.owner = &s.predictor
	return s
}

// Step advances the scheduler's time to now, processes the event and returns the
// resulting actions. If now is before the time of an earlier step, that time is
// kept. The returned slice is valid until the next call.
func (s *Scheduler) Step(now time.Time, event Event) []Action {
	s.actions = s.actions[:0]
	if now.After(s.now) {
		s.now = now
	}
	if s.startedAt.IsZero() {
		s.startedAt = s.now
	}
	s.fireDueTimers()
	s.handleEvent(event)
	s.admitHeldCopies()
	s.dispatch()
	s.balanceSpares()
	s.tieWaitingDemands()
	return s.actions
}

func (s *Scheduler) handleEvent(event Event) {
	switch e := event.(type) {
	case Demand:
		s.handleDemand(e)
	case Done:
		s.handleDone(e)
	case Progress:
		s.handleProgress(e)
	case FirstByte:
		s.handleFirstByte(e)
	case Cancel:
		s.handleCancel(e)
	case SpareUsed:
		s.handleSpareUsed(e)
	case SpareReturned:
		s.handleSpareReturned(e)
	case TargetReport:
		s.handleTargetReport(e)
	case RouterJoined:
		s.handleRouterJoined(e)
	case RouterLost:
		s.handleRouterLost(e)
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
		s.handlePeerCounters(e)
	case SlotsAllotted:
		s.handleSlotsAllotted(e)
	case RegionsChanged:
		s.setRegions(e.Regions)
	case Tick:
	}
}

// handleDemand grants, queues or refuses a new demand. Demands that wait already
// get the slots that became free in this step first.
func (s *Scheduler) handleDemand(e Demand) {
	d := s.newDemand(e)
	if d == nil {
		return
	}
	s.dispatch()
	if code := s.admissionCode(d, d.exclude); code != v1.Code_OK {
		s.refuse(d, code, s.retryAfter(d))
		return
	}
	if !s.holdCopy(d) {
		s.grantOrEnqueue(d)
	}
}

// grantOrEnqueue grants a free slot to a demand, or puts it in its workspace's
// queue.
func (s *Scheduler) grantOrEnqueue(d *demand) {
	c := d.workspace.class(d.router.zone, d.exclude)
	if t := s.chooseTarget(d, c); t != nil {
		s.grant(d, t)
		return
	}
	s.enqueue(d, c)
}

// newDemand records a demand. It returns nil if the demand is a duplicate, has
// ended already, or is from a router without an open stream. It refuses a demand
// of an unknown workspace and returns nil.
func (s *Scheduler) newDemand(e Demand) *demand {
	r := s.routers[e.ID.Router]
	if r == nil || !r.joined || r.hasSeen(e.ID.Seq) {
		return nil
	}
	w := s.workspaces[e.Workspace]
	if w == nil {
		s.refusalCount++
		s.emit(Refuse{ID: e.ID, Code: v1.Code_NOT_READY, RetryAfter: unknownRetryAfter})
		return nil
	}
	s.arrivals++
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
		arrival:   s.arrivals,
		moved:     e.Moved,
	}
	d.owner = d
	r.demands[e.ID.Seq] = d
	return d
}

// capDeadline limits a deadline to Options.MaxWait from now. A zero deadline
// becomes that limit.
func (s *Scheduler) capDeadline(deadline time.Time) time.Time {
	latest := s.now.Add(s.options.MaxWait)
	if deadline.IsZero() || deadline.After(latest) {
		return latest
	}
	return deadline
}

// sortedExclude returns a sorted copy of exclude without duplicates, or nil if it
// is empty.
func sortedExclude(exclude []config.ID) []config.ID {
	if len(exclude) == 0 {
		return nil
	}
	sorted := slices.Clone(exclude)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// admissionCode returns OK, or the code of the refusal if the demand's deadline is
// over or no target can serve it, whatever the state of the queue.
func (s *Scheduler) admissionCode(d *demand, exclude []config.ID) v1.Code {
	if !d.deadline.After(s.now) {
		return v1.Code_DEADLINE_EXCEEDED
	}
	if !s.servable(d.workspace, exclude) {
		return v1.Code_NO_TARGET
	}
	return v1.Code_OK
}

// servable reports whether any target may serve demands of w with the excluded
// targets, were it free and healthy.
func (s *Scheduler) servable(w *workspace, exclude []config.ID) bool {
	for _, t := range s.targets {
		if t.serves(w, exclude) {
			return true
		}
	}
	return false
}

// enqueue adds the demand to its workspace's queue. It refuses the demand if the
// queue is full or the expected wait exceeds the deadline.
func (s *Scheduler) enqueue(d *demand, c *class) {
	w := d.workspace
	if w.exceedsBounds(d.bytes) {
		s.refuse(d, v1.Code_QUEUE_FULL, s.retryAfter(d))
		return
	}
	if wait, ok := s.expectedWait(d); ok && s.now.Add(wait).After(d.deadline) {
		s.refuse(d, v1.Code_WAIT_EXCEEDS_DEADLINE, s.retryAfter(d))
		return
	}
	w.push(d, c)
	s.markForTies(w)
	s.waiting++
	s.counters.MarkBacklogged(w.ID)
	s.timers.set(&d.timer, d.deadline)
}

// handleCancel drops a waiting demand. An unknown demand is marked as ended, so
// that it is not started if it arrives after its Cancel.
func (s *Scheduler) handleCancel(e Cancel) {
	r := s.routers[e.ID.Router]
	if r == nil {
		return
	}
	d := r.demands[e.ID.Seq]
	if d == nil {
		r.markEnded(e.ID.Seq)
		return
	}
	if d.granted() {
		return
	}
	if len(d.ties) > 0 {
		d.workspace.withdrawnTies++
	}
	s.dequeue(d)
	s.forgetDemand(d)
}

// handleProgress charges the cost that the router reported.
func (s *Scheduler) handleProgress(e Progress) {
	d := s.findDemand(e.ID)
	if d == nil || !d.granted() {
		return
	}
	d.lastSeenAt = s.now
	d.prediction.Observe(s.now.Sub(d.grantedAt), e.Cost)
	s.counters.Progress(&d.charge, e.Cost)
	s.chargePrediction(d)
}

// findDemand returns the waiting, held or granted demand with the ID, or nil.
func (s *Scheduler) findDemand(id DemandID) *demand {
	r := s.routers[id.Router]
	if r == nil {
		return nil
	}
	return r.demands[id.Seq]
}
