package pool

import "slices"

// endedSeqs is the number of ended demands that a router's record remembers,
// so that a doubled or late message does not start them again.
const endedSeqs = 64

// router is the state of one incarnation of a router.
type router struct {
	Router
	zone string
	// joined is set while its stream is open.
	joined  bool
	demands map[uint64]*demand
	spares  int
	// demandRate is the decaying number of recent grants.
	demandRate decayingCount
	// ended is a ring of the sequence numbers that ended last.
	ended     [endedSeqs]uint64
	endedNext int
	endedLen  int
}

// knows tells whether a demand is held or has ended lately.
func (r *router) knows(seq uint64) bool {
	if _, ok := r.demands[seq]; ok {
		return true
	}
	return slices.Contains(r.ended[:r.endedLen], seq)
}

// end forgets a demand and remembers that it ended.
func (r *router) end(seq uint64) {
	delete(r.demands, seq)
	r.ended[r.endedNext] = seq
	r.endedNext = (r.endedNext + 1) % endedSeqs
	r.endedLen = min(r.endedLen+1, endedSeqs)
}

// sortedDemands returns the demands by sequence number.
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

func (s *Scheduler) routerJoined(e RouterJoined) {
	current := s.incarnations[e.Router.Name]
	if current != nil && current.Incarnation > e.Router.Incarnation {
		return
	}
	if current != nil && current.Router != e.Router {
		s.loseRouter(current)
	}
	r := s.router(e.Router)
	s.dropActions(r.Router)
	r.zone = e.Zone
	r.joined = true
	s.incarnations[r.Name] = r
	s.dropWaiting(r)
	s.dropSpares(r)
	s.reconcile(r, e.InFlight)
	s.awaitRouters(len(e.InFlight))
	r.endedLen = 0
	r.endedNext = 0
	s.counters.Merge(fromCounters(e.Counters))
}

// dropActions drops what this step already has for r: it was meant for the
// earlier stream, and must not travel on the new one.
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

// router returns the state of a router's incarnation.
func (s *Scheduler) router(id Router) *router {
	r := s.routers[id]
	if r == nil {
		r = &router{Router: id, demands: map[uint64]*demand{}}
		s.routers[id] = r
	}
	return r
}

// reconcile makes the granted demands of r those that it serves.
func (s *Scheduler) reconcile(r *router, inFlight []InFlight) {
	for _, f := range inFlight {
		if f.ID.Router == r.Router {
			s.resume(r, f)
		}
	}
	for _, d := range r.sortedDemands() {
		if d.joined {
			d.joined = false
			continue
		}
		s.counters.Abandon(&d.charge)
		s.vacate(d)
	}
}

// resume takes over a demand in flight that r reports.
func (s *Scheduler) resume(r *router, f InFlight) {
	d := r.demands[f.ID.Seq]
	if d == nil {
		d = &demand{id: f.ID, router: r, workspace: s.workspaceOf(f.Workspace)}
		d.owner = d
		d.charge = s.counters.Resume(f.Workspace, f.Charged)
		d.prediction = Resumed(f.Charged, f.Rate)
		d.digest = f.Digest
		r.demands[f.ID.Seq] = d
		s.admitCopy(d)
		s.occupy(d, s.target(f.Target))
	}
	d.joined = true
	d.asked = false
	s.recheck(d)
	d.seenAt = s.now
	s.counters.Progress(&d.charge, f.Charged)
	s.timers.set(&d.timer, s.now.Add(s.options.MaxService))
}

func (s *Scheduler) routerLost(e RouterLost) {
	if r := s.routers[e.Router]; r != nil && r.joined {
		s.loseRouter(r)
	}
}

// loseRouter drops the waiting demands of r and holds its slots for a while.
func (s *Scheduler) loseRouter(r *router) {
	r.joined = false
	if s.incarnations[r.Name] == r {
		delete(s.incarnations, r.Name)
	}
	s.dropWaiting(r)
	for _, d := range r.sortedDemands() {
		s.timers.set(&d.timer, s.now.Add(s.options.HoldTime))
		s.recheck(d)
	}
	s.dropRouter(r)
}

func (s *Scheduler) dropWaiting(r *router) {
	for _, d := range r.sortedDemands() {
		if d.granted() {
			continue
		}
		s.unqueue(d)
		s.leaveContent(d)
		s.timers.stop(&d.timer)
		delete(r.demands, d.id.Seq)
	}
}

// dropRouter forgets a lost router that holds nothing.
func (s *Scheduler) dropRouter(r *router) {
	if !r.joined && len(r.demands) == 0 && s.routers[r.Router] == r {
		delete(s.routers, r.Router)
	}
}
