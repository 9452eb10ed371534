package soak

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// targetSite is a loopback address, with a relay in front of it, at which stand-in targets run
// one after another. It is safe for concurrent use.
type targetSite struct {
	// number is the index that Fault.Index uses. Even numbers are model engines.
	number  int
	run     *run
	service string

	// drawing is the number of faults due to which the target draws its answers.
	drawing atomic.Int32

	// mu guards the fields below.
	mu sync.Mutex
	// relay is the relay in front of the target, and spare that of the target that a release
	// replaces. Each has the IP:port of a target of its own behind it.
	relay, spare *relay
	// leaving is the target that a release replaces while it still serves, nil otherwise.
	leaving *standin.Target
	// sequence counts the targets of the site. It is part of the target's ID. born is the Unix time in
	// milliseconds at which the last one started.
	sequence int
	born     int64
	// softwareVersion is the software version of the last target.
	softwareVersion int
	// registrations counts the registrations of the site, for their sequence numbers.
	registrations int
	// state is the state of the last registration.
	state string
	// target is the target that runs, nil while there is none.
	target *standin.Target
	closed bool
}

// newTargetSite starts the relays of a site. Sites beyond the targets of the configuration are those of new versions.
func newTargetSite(number int, r *run) (*targetSite, error) {
	s := &targetSite{number: number, run: r, service: plainService, softwareVersion: 1}
	if !r.config.OneVersion {
		s.softwareVersion += (number / 2) % 2
	}
	if number%2 == 0 || number >= r.config.Targets {
		s.service = streamService
	}
	var err error
	if s.relay, err = newRelay(targetAddress(number)); err != nil {
		return nil, err
	}
	if s.spare, err = newRelay(targetAddress(number + r.config.Targets)); err != nil {
		return nil, err
	}
	return s, nil
}

// start starts a target, unless the site is closed: of the other software version, unless all have one. At the sites of new
// versions none starts in the place of another.
func (s *targetSite) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.number >= s.run.config.Targets {
		return nil
	}
	if s.run.config.OneVersion {
		return s.startNew(s.softwareVersion)
	}
	return s.startNew(3 - s.softwareVersion)
}

// startNew starts a target with a new ID and registers it, unless the site is closed. s.mu is held.
func (s *targetSite) startNew(version int) error {
	if s.closed {
		return nil
	}
	s.sequence++
	if err := s.startVersion(version); err != nil {
		return err
	}
	return s.register(standin.Ready)
}

// startVersion starts a target of a software version. s.mu is held.
func (s *targetSite) startVersion(version int) error {
	s.softwareVersion, s.state = version, standin.Ready
	s.registrations++
	s.born = time.Now().UnixMilli()
	c := s.run.checker
	id := fmt.Sprintf("t%d-%d", s.number, s.sequence)
	target := &standin.Target{
		ID: id, Service: s.service, Version: s.version(), Born: s.born, OnStart: c.runStarted, OnEnd: c.runEnded,
		CrashingPart: crashingPart,
		OnPause:      func(request string) { c.requestPaused(id, request) },
	}
	target.OnCrash = func(run standin.Run) {
		c.promptCrashed(id)
		go func() { s.run.reportError(s.crash(target, promptCrashRestart)) }()
	}
	target.OnExit = func(standin.Run) {
		c.connectionsReset(id)
		go func() { s.run.reportError(s.crash(target, promptCrashRestart)) }()
	}
	c.targetStarted(target.ID, s.number)
	if err := target.Start(s.relay.server); err != nil {
		return err
	}
	if err := s.relay.listenAgain(); err != nil {
		return err
	}
	s.target = target
	return nil
}

// version returns the software version of the target. s.mu is held.
func (s *targetSite) version() string { return fmt.Sprintf("v%d", s.softwareVersion) }

// register writes the target's registration with the given state to the store. s.mu is held.
func (s *targetSite) register(state string) error {
	s.state = state
	if state == standin.Ready {
		s.run.checker.targetRegistered(s.target.ID, s.service, s.version())
	}
	return s.run.store.PutTarget(standin.Registration{
		ID: s.target.ID, Service: s.service, Address: s.relay.address(), Zone: fmt.Sprintf("z%d", s.number%zones), Version: s.version(),
		Slots: targetSlots, State: state, Sequence: uint64(s.registrations), Born: s.born,
	})
}

const (
	targetSlots = 64
	// drainServeTime is how long a target still serves after it was published as draining. It
	// exceeds drainTime, so that late requests are noticed.
	drainServeTime = drainTime + 3*time.Second
	// promptCrashRestart is the time from the end of the registration of a target that a prompt has
	// crashed, or that was killed in its streams, until another one starts.
	promptCrashRestart = 500 * time.Millisecond
	// registrationLapse is the time from a target's crash until its registration is deleted.
	registrationLapse = time.Second
	// releaseOverlap is the time from the registration of the target that a release starts until that of
	// the one that it replaces is deleted.
	releaseOverlap = 500 * time.Millisecond
	// heartbeatInterval is the time after which a target writes its registration again.
	heartbeatInterval = 1200 * time.Millisecond
)

// inject injects one fault and returns after its end.
func (s *targetSite) inject(f Fault) error {
	target, relay := s.current(), s.currentRelay()
	switch f.Kind {
	case TargetCrash:
		return s.crash(target, f.Duration)
	case TargetDark:
		return s.goDark(target, relay, f.Duration)
	case TargetDrain:
		return s.drain()
	case TargetLeaving:
		return s.leave(target)
	case TargetRelease:
		return s.release(f)
	case TargetRestart:
		return s.restart(target, min(f.Duration, registrationLapse))
	case TargetUnframedKill, TargetUnframedDark, TargetUnframedMute, TargetUnframedRestart:
		if target == nil {
			return nil
		}
		target.SetFault(standin.Unframed)
		time.Sleep(f.Duration)
		return s.endUnframed(target, f.Kind)
	case TargetDelay:
		setModeFor(relay, delay, f.Duration)
	case TargetCut:
		setModeFor(relay, holdAnswers, f.Duration)
	case TargetSilence:
		setModeFor(relay, holdAll, f.Duration)
	case TargetReset:
		relay.reset()
	default:
		if target == nil {
			return nil
		}
		target.SetFault(targetFaults[f.Kind])
		if f.Kind.generated() {
			target.SetGrammar(s.run.config.grammar(f))
			s.drawing.Add(1)
		}
		time.Sleep(f.Duration)
		if !f.Kind.generated() || s.drawing.Add(-1) == 0 {
			target.SetFault(standin.NoFault)
		}
	}
	return nil
}

// targetFaults maps kinds of fault to the faults that a stand-in target injects into its own
// answers.
var targetFaults = map[Kind]standin.Fault{
	TargetFull: standin.Full, TargetSlow: standin.Slow, TargetTruncate: standin.Truncating,
	TargetOtherRequestID: standin.OtherRequestID, TargetFail: standin.Failing,
	TargetPause: standin.Pausing, TargetUnframed: standin.Unframed, TargetUnframedBreak: standin.UnframedTruncating,
	TargetLimit: standin.Limited, TargetRestartStream: standin.Restarting,
	TargetSecondAnswer: standin.SecondAnswer, TargetLateAnswer: standin.LateSecondAnswer,
	TargetEndlessEvent: standin.EndlessEvent, TargetEndlessSecond: standin.EndlessSecondEvent, TargetEndlessBody: standin.EndlessBody,
	TargetEventTwice: standin.RepeatedEvent, TargetEventLower: standin.LowerEvent, TargetEventMissing: standin.MissingEvent,
	TargetBrokenSecond: standin.BrokenUnframed, TargetBrokenFilled: standin.BrokenWithLength, TargetBodyFilled: standin.BrokenBody,
	TargetEndlessChunks: standin.EndlessChunks, TargetEndlessField: standin.EndlessField, TargetEndlessList: standin.EndlessList,
}

// detach removes target from the site if it is the current target. It returns false if it is
// not, because another fault has already ended it.
func (s *targetSite) detach(target *standin.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target == nil || s.target != target {
		return false
	}
	s.target = nil
	s.run.checker.targetEnded(target.ID)
	return true
}

// current returns the running target, nil if there is none.
func (s *targetSite) current() *standin.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target
}

// currentRelay returns the relay in front of the target.
func (s *targetSite) currentRelay() *relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay
}

// endUnframed ends the target as a kind of fault says that begins with answers without framing.
func (s *targetSite) endUnframed(target *standin.Target, kind Kind) error {
	switch kind {
	case TargetUnframedRestart:
		return s.restartAtOnce(target)
	case TargetUnframedDark, TargetUnframedMute:
		return s.vanish(target, kind == TargetUnframedDark)
	}
	return s.crash(target, promptCrashRestart)
}

// crash ends the target without draining, deletes its registration after registrationLapse,
// and starts another target restartDelay later.
func (s *targetSite) crash(target *standin.Target, restartDelay time.Duration) error {
	if !s.detach(target) {
		return nil
	}
	s.currentRelay().refuse()
	return s.replaceCrashed(target, restartDelay)
}

// replaceCrashed is crash from the moment at which the target is detached and its address is as it will be.
func (s *targetSite) replaceCrashed(target *standin.Target, restartDelay time.Duration) error {
	if err := target.Crash(); err != nil {
		return err
	}
	time.Sleep(registrationLapse)
	s.run.store.DeleteTarget(target.ID)
	time.Sleep(restartDelay)
	// Ends stopAccepting.
	s.currentRelay().refuse()
	return s.start()
}

// vanish is crash, but with something at the target's address that accepts connections and says nothing, or, if
// dark is set, a machine that does not answer.
func (s *targetSite) vanish(target *standin.Target, dark bool) error {
	if !s.detach(target) {
		return nil
	}
	if err := s.currentRelay().stopAccepting(dark); err != nil {
		return err
	}
	return s.replaceCrashed(target, promptCrashRestart)
}

// goDark ends the target without a word: its connections stay open and silent for registrationLapse and a time d, and are
// then reset, as by a machine that has lost power and starts again.
func (s *targetSite) goDark(target *standin.Target, relay *relay, d time.Duration) error {
	relay.setMode(holdAll)
	defer relay.setMode(forward)
	time.Sleep(registrationLapse)
	if !s.detach(target) {
		return nil
	}
	s.run.store.DeleteTarget(target.ID)
	time.Sleep(d)
	relay.reset()
	if err := target.Crash(); err != nil {
		return err
	}
	relay.setMode(forward)
	return s.start()
}

// drain stops the target as planned: it publishes the target as draining, lets it serve for
// drainServeTime, and starts another one in its place.
func (s *targetSite) drain() error {
	s.mu.Lock()
	if s.target == nil {
		s.mu.Unlock()
		return nil
	}
	s.registrations++
	err := s.register(standin.Draining)
	target := s.target
	s.run.checker.targetDraining(target.ID)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(drainServeTime)
	if !s.detach(target) {
		return nil
	}
	s.run.store.DeleteTarget(target.ID)
	if err := target.Crash(); err != nil {
		return err
	}
	return s.start()
}

// leave stops the target as planned like drain, but only the target's answers say so: its registration
// stays ready.
func (s *targetSite) leave(target *standin.Target) error {
	if target == nil {
		return nil
	}
	target.SetFault(standin.Leaving)
	time.Sleep(drainServeTime)
	return s.crash(target, 0)
}

// restart ends the target without draining and starts one of the other software version under its ID
// after a time. That registers with its next heartbeat.
func (s *targetSite) restart(target *standin.Target, after time.Duration) error {
	if !s.detach(target) {
		return nil
	}
	s.currentRelay().refuse()
	if err := target.Crash(); err != nil {
		return err
	}
	time.Sleep(after)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	return s.startVersion(3 - s.softwareVersion)
}

// restartAtOnce is restart without a time in between: the other target listens when the connections of this one end.
func (s *targetSite) restartAtOnce(target *standin.Target) error {
	if !s.detach(target) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := target.StopListening()
	if !s.closed && err == nil {
		err = s.startVersion(3 - s.softwareVersion)
	}
	return errors.Join(err, target.Crash())
}

// release starts a target of the fault's software version beside the one that runs, deletes the
// registration of the latter without publishing it as draining, and lets it serve for some seconds more.
// Its connections then end in the regular way, or are reset. It does nothing if the target is of that
// version already, or another release is under way.
func (s *targetSite) release(f Fault) error {
	s.mu.Lock()
	if s.target == nil || s.leaving != nil || s.softwareVersion == f.Version || s.closed {
		s.mu.Unlock()
		return nil
	}
	old, oldRelay := s.target, s.relay
	s.leaving, s.relay, s.spare = old, s.spare, s.relay
	err := s.startNew(f.Version)
	reset := s.sequence%2 == 0
	s.mu.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(releaseOverlap)
	s.run.store.DeleteTarget(old.ID)
	s.run.checker.targetDraining(old.ID)
	time.Sleep(drainTime + f.Duration)
	oldRelay.refuse()
	if reset {
		s.run.checker.connectionsReset(old.ID)
		oldRelay.reset()
	}
	err = old.Crash()
	s.mu.Lock()
	s.leaving = nil
	s.mu.Unlock()
	return err
}

// heartbeat writes the registration again after each heartbeatInterval until done is closed.
func (s *targetSite) heartbeat(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
			s.run.reportError(s.registerAgain())
		}
	}
}

// registerAgain writes the registration of the running target again, as targets do after some time.
func (s *targetSite) registerAgain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target == nil {
		return nil
	}
	s.registrations++
	return s.register(s.state)
}

// close stops the target and the relay for good.
func (s *targetSite) close() {
	s.mu.Lock()
	s.closed = true
	leaving := s.leaving
	s.mu.Unlock()
	if leaving != nil {
		_ = leaving.Crash()
	}
	if target := s.current(); s.detach(target) {
		// A fault may have closed the target's listener already.
		_ = target.Crash()
	}
	s.relay.close()
	s.spare.close()
}
