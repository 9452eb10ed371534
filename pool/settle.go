package pool

// settling delays the first grants of a scheduler that is rebuilt, until the
// routers have told which slots are in use. Its timer is the end of the delay.
type settling struct {
	timer
	begun  bool
	active bool
}

// awaitRouters begins the delay when the first router with requests in flight joins
// a scheduler that has granted nothing.
func (s *Scheduler) awaitRouters(inFlight int) {
	if s.settling.begun || s.granted > 0 || inFlight == 0 || s.options.SettleTime <= 0 {
		return
	}
	s.settling.begun = true
	s.settling.active = true
	s.settling.owner = &s.settling
	s.timers.set(&s.settling.timer, s.now.Add(s.options.SettleTime))
}

// due implements timed: what waits may be granted.
func (d *settling) due(s *Scheduler) {
	d.active = false
	for _, t := range s.sortedTargets() {
		s.touch(t)
	}
}
