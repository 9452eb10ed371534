package pool

// settling limits the grants of a new scheduler until the routers had time to join
// and to report which slots are in use: the scheduler may replace a lost one. Its
// timer is the end of the settle time, which lasts for Options.SettleTime.
type settling struct {
	timer
	// started is set once a settle time has begun, active while one runs.
	started bool
	active  bool
	// inFlightReported is set once a router has joined with requests in flight.
	inFlightReported bool
}

// startSettling starts the settle time when the first router joins, and again when
// the first one with requests in flight joins a scheduler that has granted nothing.
// If slots are allotted to the scheduler as one shard of several, the join of a
// router without requests in flight does not start it, since slots are allotted
// when they are free.
func (s *Scheduler) startSettling(inFlight int) {
	d := &s.settling
	if s.grantCount > 0 || d.inFlightReported || s.options.SettleTime <= 0 {
		return
	}
	if inFlight == 0 && (d.started || s.allotted != nil) {
		return
	}
	d.started = true
	d.active = true
	d.inFlightReported = inFlight > 0
	d.owner = d
	s.timers.set(&d.timer, s.now.Add(s.options.SettleTime))
}

// withholdsGrants reports whether slots that seem free may be in use and must not be
// granted. While no router has reported requests in flight, the pool may be a new
// one without any, so that the scheduler grants one request at a time.
func (s *Scheduler) withholdsGrants() bool {
	return s.settling.active && (s.settling.inFlightReported || s.hasInFlight())
}

// hasInFlight reports whether any target has a granted demand.
func (s *Scheduler) hasInFlight() bool {
	for _, t := range s.targets {
		if t.busy > 0 {
			return true
		}
	}
	return false
}

// timerFired implements timerOwner. It ends the settle time, after which waiting
// demands may get all free slots.
func (d *settling) timerFired(s *Scheduler) {
	d.active = false
	for _, t := range s.sortedTargets() {
		s.markForDispatch(t)
	}
}
