package pool

// settling limits the first grants of a scheduler, which may be the successor of
// a lost one, until the routers have told which slots are in use. Its timer is
// the end of that time.
type settling struct {
	timer
	begun  bool
	active bool
	// told is set once a router has named requests in flight.
	told bool
}

// awaitRouters begins the time when the first router joins, and again when the
// first one with requests in flight joins a scheduler that has granted nothing.
// The slots of a shard are allotted when they are free, so that there the first
// join alone begins nothing.
func (s *Scheduler) awaitRouters(inFlight int) {
	d := &s.settling
	if s.granted > 0 || d.told || s.options.SettleTime <= 0 {
		return
	}
	if inFlight == 0 && (d.begun || s.allotted != nil) {
		return
	}
	d.begun = true
	d.active = true
	d.told = inFlight > 0
	d.owner = d
	s.timers.set(&d.timer, s.now.Add(s.options.SettleTime))
}

// withholds tells whether free slots may be in use and must not be granted. As
// long as no router has named requests in flight, the scheduler may be a fresh
// one, so that one request at a time is granted.
func (s *Scheduler) withholds() bool {
	return s.settling.active && (s.settling.told || s.busy())
}

// busy tells whether any request is in flight.
func (s *Scheduler) busy() bool {
	for _, t := range s.targets {
		if t.busy > 0 {
			return true
		}
	}
	return false
}

// due implements timed: what waits may be granted.
func (d *settling) due(s *Scheduler) {
	d.active = false
	for _, t := range s.sortedTargets() {
		s.touch(t)
	}
}
