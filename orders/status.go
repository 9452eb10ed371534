package orders

// Status counts the engines of the shards whose sender the router is.
type Status struct {
	// Shards is the number of shards held.
	Shards  int
	Engines int
	// Differing counts the engines that are not known to be in their desired
	// state, all of the following included.
	Differing int
	// Unreachable counts the engines that did not answer the last query.
	Unreachable int
	// Ahead counts the engines that report a newer revision.
	Ahead int
	// Failing counts the engines whose last order failed.
	Failing int
	// HeldBack counts the engines that are kept from a version that failed on
	// others.
	HeldBack int
	// Loading counts the loads in progress.
	Loading int
}

// Status returns the counts as of the last step.
func (s *Sender) Status() Status {
	var status Status
	for i := range s.shards {
		if s.shards[i].held {
			status.Shards++
			s.addShard(&status, i)
		}
	}
	return status
}

func (s *Sender) addShard(status *Status, index int) {
	rolling := s.newRolling(index)
	for i := range s.plan.Engines {
		desired := &s.plan.Engines[i]
		if desired.Shard != index || s.leaving[desired.Name] {
			continue
		}
		e := s.engines[desired.Name]
		status.Engines++
		status.addProgress(e)
		s.addDifference(status, e, rolling)
	}
}

func (status *Status) addProgress(e *engine) {
	if e.order != nil && e.order.order.Kind.loads() {
		status.Loading++
	}
	if e.failures > 0 {
		status.Failing++
	}
}

func (s *Sender) addDifference(status *Status, e *engine, rolling *rolling) {
	order, differs := e.missing()
	switch {
	case !e.known():
		status.Unreachable++
	case e.ahead(s.plan.Revision):
		status.Ahead++
	case !differs:
		return
	case e.serving() && rolling.pool(e).heldBack(e, order):
		status.HeldBack++
	}
	status.Differing++
}
