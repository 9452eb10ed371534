package pool

import "slices"

// endedSeqs is the number of ended demands that are remembered for each router, so
// that a duplicated or late message does not start them again.
const endedSeqs = 64

// router is the state of one incarnation of a router.
type router struct {
	Router
	zone string
	// joined is set while the router's stream is open.
	joined  bool
	demands map[uint64]*demand
	// spares is the number of spare slots that the router holds.
	spares int
	// recentGrants is the number of recent grants, decaying with Options.SpareTTL as
	// half-life. It bounds the router's spare slots.
	recentGrants decayingCount
	// ended is a ring buffer of the sequence numbers of the demands that ended last.
	ended     [endedSeqs]uint64
	endedNext int
	endedLen  int
}

// hasSeen reports whether a demand is present or has ended lately.
func (r *router) hasSeen(seq uint64) bool {
	if _, ok := r.demands[seq]; ok {
		return true
	}
	return slices.Contains(r.ended[:r.endedLen], seq)
}

// markEnded forgets a demand and remembers that it has ended.
func (r *router) markEnded(seq uint64) {
	delete(r.demands, seq)
	r.ended[r.endedNext] = seq
	r.endedNext = (r.endedNext + 1) % endedSeqs
	r.endedLen = min(r.endedLen+1, endedSeqs)
}

// sortedDemands returns the demands ordered by sequence number.
func (r *router) sortedDemands() []*demand {
	seqs := make([]uint64, 0, len(r.demands))
	for seq := range r.demands {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	demands := make([]*demand, len(seqs))
	for i, seq := range seqs {
		demands[i] = r.demands[seq]
	}
	return demands
}

// handleRouterJoined opens or replaces the stream of a router and takes over the
// demands in flight and the counters that the router reports. It ignores the event
// of an earlier incarnation while the stream of a later one is open.
func (s *Scheduler) handleRouterJoined(e RouterJoined) {
	current := s.joinedRouters[e.Router.Name]
	if current != nil && current.Incarnation > e.Router.Incarnation {
		return
	}
	if current != nil && current.Router != e.Router {
		s.disconnectRouter(current)
	}
	r := s.router(e.Router)
	s.dropActions(r.Router)
	r.zone = e.Zone
	r.joined = true
	s.joinedRouters[r.Name] = r
	s.dropWaiting(r)
	s.dropSpares(r)
	s.reconcile(r, e.InFlight)
	s.startSettling(len(e.InFlight))
	r.endedLen = 0
	r.endedNext = 0
	s.counters.Merge(fromCounters(e.Counters))
}

// dropActions drops the actions for r that this step has emitted so far. They belong
// to the earlier stream and must not be sent on the new one.
func (s *Scheduler) dropActions(r Router) {
	s.actions = slices.DeleteFunc(s.actions, func(a Action) bool {
		return recipient(a) == r
	})
}

// recipient returns the router that an action is for.
func recipient(a Action) Router {
	switch a := a.(type) {
	case Grant:
		return a.ID.Router
	case Refuse:
		return a.ID.Router
	case AskFirstByte:
		return a.ID.Router
	case Tie:
		return a.ID.Router
	case HandSpare:
		return a.Router
	case RevokeSpare:
		return a.Router
	}
	return Router{}
}

// router returns the state of a router's incarnation, and adds it if there is none.
func (s *Scheduler) router(id Router) *router {
	r := s.routers[id]
	if r == nil {
		r = &router{Router: id, demands: map[uint64]*demand{}}
		s.routers[id] = r
	}
	return r
}

// reconcile takes over the demands in flight that the router reports, and ends the
// granted demands of r that it does not report.
func (s *Scheduler) reconcile(r *router, inFlight []InFlight) {
	for _, f := range inFlight {
		if f.ID.Router == r.Router {
			s.resume(r, f)
		}
	}
	for _, d := range r.sortedDemands() {
		if d.reconciled {
			d.reconciled = false
			continue
		}
		s.counters.Abandon(&d.charge)
		s.vacateSlot(d)
	}
}

// resume takes over a demand in flight that r reports. It adds the demand if the
// scheduler does not have it.
func (s *Scheduler) resume(r *router, f InFlight) {
	d := r.demands[f.ID.Seq]
	if d == nil {
		d = &demand{id: f.ID, router: r, workspace: s.workspaceOf(f.Workspace)}
		d.owner = d
		d.charge = s.counters.Resume(f.Workspace, f.Charged)
		d.prediction = ResumedPrediction(f.Charged, f.Rate)
		d.digest = f.Digest
		r.demands[f.ID.Seq] = d
		s.admitCopy(d)
		s.occupySlot(d, s.target(f.Target))
	}
	d.reconciled = true
	d.firstByteAsked = false
	s.recheckCopies(d)
	d.lastSeenAt = s.now
	s.counters.Progress(&d.charge, f.Charged)
	s.timers.set(&d.timer, s.now.Add(s.options.MaxService))
}

func (s *Scheduler) handleRouterLost(e RouterLost) {
	if r := s.routers[e.Router]; r != nil && r.joined {
		s.disconnectRouter(r)
	}
}

// disconnectRouter closes the stream of r. It drops the waiting demands of r and keeps
// the slots of granted ones busy for Options.HoldTime.
func (s *Scheduler) disconnectRouter(r *router) {
	r.joined = false
	if s.joinedRouters[r.Name] == r {
		delete(s.joinedRouters, r.Name)
	}
	s.dropWaiting(r)
	for _, d := range r.sortedDemands() {
		s.timers.set(&d.timer, s.now.Add(s.options.HoldTime))
		s.recheckCopies(d)
	}
	s.forgetLostRouter(r)
}

func (s *Scheduler) dropWaiting(r *router) {
	for _, d := range r.sortedDemands() {
		if d.granted() {
			continue
		}
		s.dequeue(d)
		s.leaveCopyGroup(d)
		s.timers.stop(&d.timer)
		delete(r.demands, d.id.Seq)
	}
}

// forgetLostRouter forgets a router without a stream and without demands.
func (s *Scheduler) forgetLostRouter(r *router) {
	if !r.joined && len(r.demands) == 0 && s.routers[r.Router] == r {
		delete(s.routers, r.Router)
	}
}
