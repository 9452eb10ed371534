package soak

import (
	"errors"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// The kinds of fault of the datagrams between routers, alone and together with faults of the link to the store.
const (
	// The datagrams of a router are lost: all of them, those that it receives, those that it sends, or most of them. Or they
	// arrive late or twice.
	ReportsSilent    Kind = "router-reports-silent"
	ReportsInSilent  Kind = "router-reports-in-silent"
	ReportsOutSilent Kind = "router-reports-out-silent"
	ReportsLost      Kind = "router-reports-lost"
	ReportsDelay     Kind = "router-reports-delay"
	ReportsTwice     Kind = "router-reports-twice"
	// A router is out of step: its datagrams and its link to the store are silent, also after a pause of its process or around a
	// restart, or it receives no datagrams and the store is silent, or the store's answers are late while all or most
	// datagrams are lost.
	RouterCut        Kind = "router-cut"
	RouterCutPause   Kind = "router-cut-pause"
	RouterCutRestart Kind = "router-cut-restart"
	RouterCutIn      Kind = "router-cut-in"
	RouterLate       Kind = "router-cut-store-late"
	RouterLossyLate  Kind = "router-lossy-store-late"
	// A schedule holds each RoutersCut as a RouterCut of two routers of a zone. The kinds of newVersionKinds stand for
	// routers that are out of step while targets of a NewVersion join.
	RoutersCut Kind = "routers-cut"
	NewVersion Kind = "new-version"
)

// outOfStepKinds are the kinds of fault beside which the targets of a new version may join.
var outOfStepKinds = []Kind{
	RouterCut, RouterCutPause, RouterCutRestart, RouterCutIn, RouterLate, RouterLossyLate, RoutersCut, ReportsSilent, StoreLinkSilence,
}

const newVersionPrefix = NewVersion + "-"

// newVersionKinds returns the kinds that put routers out of step while targets of a new version join.
func newVersionKinds() []Kind {
	var kinds []Kind
	for _, k := range outOfStepKinds {
		kinds = append(kinds, newVersionPrefix+k)
	}
	return kinds
}

// bringsVersion reports whether the kind is one of newVersionKinds.
func (k Kind) bringsVersion() bool { return strings.HasPrefix(string(k), string(newVersionPrefix)) }

// linkFault is a fault of a router's datagrams and of its link to the store.
type linkFault struct {
	reports reportFault
	store   relayMode
	// paused is set if the process is paused at the beginning, and restarted if it is replaced halfway.
	paused, restarted bool
}

const (
	reportLoss  = 0.85
	reportDelay = 400 * time.Millisecond
	cutPause    = 700 * time.Millisecond
)

var (
	allLost    = reportFault{sentLost: 1, receivedLost: 1}
	mostLost   = reportFault{sentLost: reportLoss, receivedLost: reportLoss}
	linkFaults = map[Kind]linkFault{
		ReportsSilent:    {reports: allLost},
		ReportsInSilent:  {reports: reportFault{receivedLost: 1}},
		ReportsOutSilent: {reports: reportFault{sentLost: 1}},
		ReportsLost:      {reports: mostLost},
		ReportsDelay:     {reports: reportFault{delay: reportDelay}},
		ReportsTwice:     {reports: reportFault{twice: true}},
		RouterCut:        {reports: allLost, store: holdAll},
		RouterCutPause:   {reports: allLost, store: holdAll, paused: true},
		RouterCutRestart: {reports: allLost, store: holdAll, restarted: true},
		RouterCutIn:      {reports: reportFault{receivedLost: 1}, store: holdAll},
		RouterLate:       {reports: allLost, store: lateAnswers},
		RouterLossyLate:  {reports: mostLost, store: lateAnswers},
		StoreLinkSilence: {store: holdAll},
	}
)

// injectLinks injects a fault of the router's links and returns after its end.
func (r *router) injectLinks(f linkFault, d time.Duration) error {
	r.outOfStep.Add(1)
	defer r.outOfStep.Add(-1)
	r.network.setFault(r.number, f.reports)
	defer r.network.setFault(r.number, reportFault{})
	r.storeRelay.setMode(f.store)
	defer r.storeRelay.setMode(forward)
	var err error
	switch {
	case f.paused:
		r.signal(syscall.SIGSTOP, false)
		time.Sleep(min(cutPause, d))
		r.signal(syscall.SIGCONT, false)
		time.Sleep(d - cutPause)
	case f.restarted:
		time.Sleep(d / 2)
		err = r.replace(syscall.SIGKILL, 0)
		time.Sleep(d / 2)
	default:
		time.Sleep(d)
	}
	return err
}

const (
	// shortCut and longCut are how long routers are out of step while targets of a new version join.
	shortCut = 3 * time.Second
	longCut  = 6 * time.Second
	// joinDelay is the time from the beginning of that until the targets join, and learnTime that from then on until the
	// routers in step know them and callers begin streams. Some of the targets leave between minBreak and maxBreak after they
	// have joined, the others stayTime after the routers are in step again.
	joinDelay = 50 * time.Millisecond
	learnTime = 400 * time.Millisecond
	minBreak  = 600 * time.Millisecond
	maxBreak  = 3200 * time.Millisecond
	stayTime  = 3 * time.Second
	// firstVersionAt is the earliest time of a new version, when the routers know which versions there have been, and
	// newVersionGap is the least time between two new versions: a router that knows two versions of a service of late
	// does not continue streams of unknown origin.
	firstVersionAt = 3 * time.Second
	newVersionGap  = 40 * time.Second
)

// drawNewVersion draws the routers that are out of step, and when targets of the new version join and leave.
func drawNewVersion(random *rand.Rand, f Fault, c Config) []Fault {
	f.Kind = Kind(strings.TrimPrefix(string(f.Kind), string(newVersionPrefix)))
	f.Duration = shortCut
	if random.IntN(2) == 0 {
		f.Duration = longCut
	}
	join := f
	join.Kind, join.At, join.Version = NewVersion, f.At+joinDelay, 100+random.IntN(900)
	early := random.Float64()
	join.Break = minBreak + time.Duration(early*early*float64(maxBreak-minBreak))
	join.Duration += stayTime
	return append(drawTargets(random, f, c), join)
}

const (
	// joinCount is the number of targets of a new version, of which joinBreaks leave early, and joinCallers that of the callers
	// that read streams meanwhile.
	joinCount   = 6
	joinBreaks  = 4
	joinCallers = 60
	// outOfStepShare is the fraction of broken streams that these callers take up at a router that is out of step.
	outOfStepShare = 0.5
)

// joinVersion lets targets of a new version join while callers read streams. Some of the targets leave after f.Break, the others
// at the end of the fault. It does nothing if a version is joining already.
func (r *run) joinVersion(f Fault) error {
	if !r.joinMu.TryLock() {
		return nil
	}
	defer r.joinMu.Unlock()
	for _, s := range r.joiners {
		if err := s.join(f.Version); err != nil {
			return err
		}
	}
	r.sleep(learnTime)
	ended := make(chan struct{})
	for range joinCallers {
		c := r.newCaller(joinRoutes)
		c.joins = true
		r.callers.Go(func() { c.sendRequests(ended) })
	}
	r.sleep(f.Break - learnTime)
	var err error
	for _, s := range r.joiners[:joinBreaks] {
		err = errors.Join(err, s.depart())
	}
	r.sleep(f.Duration - f.Break)
	close(ended)
	for _, s := range r.joiners[joinBreaks:] {
		err = errors.Join(err, s.depart())
	}
	return err
}

// sleep waits for d, or until the run is over.
func (r *run) sleep(d time.Duration) {
	select {
	case <-r.done:
	case <-time.After(d):
	}
}

// join starts and registers a target of a software version, unless one runs.
func (s *targetSite) join(version int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target != nil {
		return nil
	}
	return s.startNew(version)
}

// depart deletes the registration of the target and resets its connections.
func (s *targetSite) depart() error {
	target := s.current()
	if !s.detach(target) {
		return nil
	}
	s.run.store.DeleteTarget(target.ID)
	s.run.checker.connectionsReset(target.ID)
	relay := s.currentRelay()
	relay.refuse()
	relay.reset()
	return target.Crash()
}
