// Package soak runs router processes under random faults and checks the promises of
// docs/PROMISES.md from what callers and targets see.
//
// The routers are separate processes. The store and the targets of the users' platform are
// stand-ins within the soak process, behind loopback relays that delay, reset, hold or silence
// connections. A seed determines the faults, but not the timing of requests and processes, so a
// run with the same seed can differ.
package soak

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// Config describes one run of the soak.
type Config struct {
	// Program is the path of chiveseam-edge.
	Program string
	// Dir is an existing directory for the routers' settings and logs.
	Dir string
	// Seed is the seed of the faults and of the callers' random choices.
	Seed uint64
	// Length is the period in which the faults happen. The run lasts some seconds longer, in
	// which the fleet must recover.
	Length time.Duration
	// Routers, Targets and Callers are how many of each there are. Targets with even numbers
	// are model engines. StreamCallers is the number of further callers, which read long streams.
	Routers, Targets, Callers, StreamCallers int
	// Interval is the mean time between the starts of two faults; 0 means meanInterval.
	Interval time.Duration
	// OneVersion is set if all targets begin with one software version, which only releases and restarts
	// of a target under its ID change.
	OneVersion bool
	// Kinds are the kinds of fault to draw from; nil means all.
	Kinds []Kind
	// AnswerFaults are the faults of answers that targets draw from a grammar; nil means all.
	AnswerFaults []standin.AnswerFault
	// MemoryMB is the memory of a router's machine in MiB; 0 means defaultMemoryMB.
	MemoryMB int
	// CountCases is set if a run goes on after a broken promise, and its report lists all cases.
	CountCases bool
}

const (
	// host is the host name of all routes.
	host       = "soak.example"
	zones      = 3
	workspaces = 4
	// stopGrace is how long a router may take to stop after SIGTERM, and defaultMemoryMB its memory in
	// MiB. Both are those of a deployment of the first milestone.
	stopGrace       = 8 * time.Second
	defaultMemoryMB = 256
	// startTimeout bounds the time until all routers are ready.
	startTimeout = 20 * time.Second
	// recoveryTime is how long the fleet may take to recover after the last fault. In the
	// observationTime that follows it must serve the requests.
	recoveryTime    = 12 * time.Second
	observationTime = 2 * time.Second
)

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Faults []Fault
	// Counts are the numbers of requests, of runs at targets, of answers by status, of valid
	// requests ("proper") and of those served.
	Counts map[string]int
	// Violation is the first broken promise, nil if all were kept.
	Violation *Violation
	// Log holds the routers' log lines that contain the ID of the violation's request, or of another
	// one of its stream.
	Log []string
	// Cases holds what broke each promise, the first case of a promise first, if Config.CountCases is set.
	Cases map[string][]Violation
	// CaseLogs holds, by promise, the log lines of the first case as Log does.
	CaseLogs map[string][]string
}

// String returns the report as several lines of text.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults\n", r.Seed, len(r.Faults))
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&b, "  %s: %d\n", name, r.Counts[name])
	}
	if r.Violation == nil {
		b.WriteString("  all promises kept\n")
		return b.String()
	}
	if len(r.Cases) > 0 {
		r.writeCases(&b)
		return b.String()
	}
	fmt.Fprintf(&b, "  BROKEN: %s\n", r.Violation)
	for _, line := range r.Log {
		fmt.Fprintf(&b, "    %s\n", line)
	}
	return b.String()
}

// maxCaseLines bounds the cases of a promise that a report prints.
const maxCaseLines = 40

// writeCases writes the number of cases of each promise, the cases, and the log lines of the first one.
func (r *Report) writeCases(b *strings.Builder) {
	for _, promise := range slices.Sorted(maps.Keys(r.Cases)) {
		cases := r.Cases[promise]
		fmt.Fprintf(b, "  BROKEN %d times: %s\n", len(cases), promise)
		for _, v := range cases[:min(len(cases), maxCaseLines)] {
			fmt.Fprintf(b, "    at %.2f s, request %s: %s [%s]\n", v.At.Seconds(), v.Request, v.Detail, v.Context)
		}
		for _, line := range r.CaseLogs[promise] {
			fmt.Fprintf(b, "      %s\n", line)
		}
	}
}

// run holds the state of one run.
type run struct {
	config  Config
	checker *checker
	store   *standin.Store
	network *reportNetwork
	routers []*router
	targets []*targetSite
	// joiners are the sites of the targets of new versions. joinMu is held while such a version is there.
	joiners []*targetSite
	joinMu  sync.Mutex
	// done is closed to end the callers and the checks of the routers' readiness.
	done chan struct{}
	// faults counts the faults being injected, and callers the callers that run.
	faults  sync.WaitGroup
	callers sync.WaitGroup
	// callerCount is the number of callers that have been created.
	callerCount atomic.Int64
	// promptCrashes is the number of faults during which callers send prompts that crash targets.
	promptCrashes atomic.Int32
	// publishMu is held while a configuration version is published, so that versions are
	// written in order.
	publishMu sync.Mutex
	server    *http.Server
	// errors holds the first error of the soak itself, as opposed to a violation.
	errors chan error
}

// Run performs one run. It returns an error if the soak itself fails; a broken promise is in
// the report. Closing stop ends the run early.
func Run(c Config, stop <-chan struct{}) (*Report, error) {
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	faults := Schedule(c.Seed, c)
	r := &run{config: c, store: standin.NewStore(), done: make(chan struct{}), errors: make(chan error, 1)}
	r.checker = newChecker(time.Now(), faults)
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.checker.startClock()
	r.startCallers()
	if err := r.injectFaults(faults, stop); err != nil {
		return nil, err
	}
	report := &Report{Seed: c.Seed, Faults: faults, Violation: r.checker.violation(), Counts: r.checker.countsCopy()}
	if report.Violation != nil {
		time.Sleep(logDelay)
		report.Log = r.requestLog(r.checker.requestsOf(report.Violation.Request))
	}
	if c.CountCases {
		report.Cases, report.CaseLogs = r.checker.casesCopy(), make(map[string][]string)
		for promise, cases := range report.Cases {
			report.CaseLogs[promise] = r.requestLog(r.checker.requestsOf(cases[0].Request))
		}
	}
	return report, nil
}

// start starts the store, the targets and the routers, and waits until the routers are ready.
func (r *run) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r.store}
	go func() {
		if err := r.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.reportError(err)
		}
	}()
	if err := r.publish(); err != nil {
		return err
	}
	for i := range r.config.Targets {
		t, err := newTargetSite(i, r)
		if err != nil {
			return err
		}
		r.targets = append(r.targets, t)
		if err := t.start(); err != nil {
			return err
		}
		go t.heartbeat(r.done)
	}
	for i := range joinCount {
		t, err := newTargetSite(2*r.config.Targets+i, r)
		if err != nil {
			return err
		}
		r.joiners = append(r.joiners, t)
		go t.heartbeat(r.done)
	}
	if r.network, err = newReportNetwork(r.config.Routers, r.config.Seed); err != nil {
		return err
	}
	for i := range r.config.Routers {
		router, err := newRouter(i, r.config, l.Addr().String(), r.network, r.checker)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, router)
		if err := router.start(); err != nil {
			return err
		}
		go router.updateRotation(r.done)
	}
	return r.awaitReady()
}

// awaitReady waits until all routers are in rotation, at most startTimeout.
func (r *run) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		ready := 0
		for _, router := range r.routers {
			if router.inRotation.Load() {
				ready++
			}
		}
		if ready == len(r.routers) {
			return nil
		}
	}
	return errors.New("soak: the routers did not become ready in time")
}

func (r *run) startCallers() {
	for i := range r.config.Callers + r.config.StreamCallers {
		c := r.newCaller(routes)
		if i >= r.config.Callers {
			c.routes = longRoutes
		}
		r.callers.Go(func() { c.sendRequests(r.done) })
	}
}

// newCaller returns a caller that draws its requests from the given routes.
func (r *run) newCaller(routes []route) *caller {
	number := int(r.callerCount.Add(1)) - 1
	return &caller{run: r, number: number, random: rand.New(rand.NewPCG(r.config.Seed, uint64(number)+1)), routes: routes}
}

// pickRouter draws a router in rotation for a new connection, a preferred one if there is one. It returns nil
// if there is none.
func (r *run) pickRouter(random *rand.Rand, prefers func(*router) bool) *router {
	var picked *router
	for _, i := range random.Perm(len(r.routers)) {
		if r.routers[i].inRotation.Load() {
			if picked = r.routers[i]; prefers(picked) {
				break
			}
		}
	}
	return picked
}

// reportError keeps err if it is the first error of the soak itself.
func (r *run) reportError(err error) {
	if err == nil {
		return
	}
	select {
	case r.errors <- err:
	default:
	}
}

// injectFaults injects each fault at its time, waits for the fleet to recover, and checks that
// it then serves requests.
func (r *run) injectFaults(faults []Fault, stop <-chan struct{}) error {
	for _, f := range faults {
		if !r.sleepUnlessEnded(time.Until(r.checker.start.Add(f.At)), stop) {
			return r.firstError()
		}
		r.faults.Go(func() { r.reportError(r.inject(f)) })
	}
	r.faults.Wait()
	if !r.sleepUnlessEnded(recoveryTime, stop) {
		return r.firstError()
	}
	served, sent := r.checker.servedAndEnded()
	r.sleepUnlessEnded(observationTime, stop)
	servedAfter, sentAfter := r.checker.servedAndEnded()
	if !r.isOver() {
		r.checker.checkRecovery(servedAfter-served, sentAfter-sent)
	}
	return r.firstError()
}

// sleepUnlessEnded waits for d. It returns false as soon as the run is to end: after a
// violation or an error, or because stop is closed.
func (r *run) sleepUnlessEnded(d time.Duration, stop <-chan struct{}) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		select {
		case <-stop:
			return false
		case <-time.After(min(pollInterval, time.Until(end))):
		}
		if r.isOver() || len(r.errors) > 0 {
			return false
		}
	}
	return true
}

// isOver reports whether a broken promise ends the run.
func (r *run) isOver() bool { return !r.config.CountCases && r.checker.violation() != nil }

// firstError returns the first error of the soak itself, nil if there is none.
func (r *run) firstError() error {
	select {
	case err := <-r.errors:
		return fmt.Errorf("soak: %w", err)
	default:
		return nil
	}
}

// inject injects one fault and returns after its end.
func (r *run) inject(f Fault) error {
	switch {
	case f.Kind.onRouter():
		return r.injectRouter(f, r.routers[f.Index])
	case f.Kind.onTarget():
		return r.targets[f.Index].inject(f)
	case f.Kind == NewVersion:
		return r.joinVersion(f)
	case f.Kind == Publish:
		return r.publish()
	case f.Kind == StoreCompact:
		r.store.Compact()
		return nil
	case f.Kind == PromptCrash:
		r.promptCrashes.Add(1)
		time.Sleep(f.Duration)
		r.promptCrashes.Add(-1)
		return nil
	case f.Kind == StoreRestore:
		return r.restoreStore()
	}
	mode := standin.Refusing
	if f.Kind == StoreSilent {
		mode = standin.Silent
	}
	r.store.SetMode(mode)
	time.Sleep(f.Duration)
	r.store.SetMode(standin.Serving)
	return nil
}

const (
	// copyAge is the age of the copy from which the store is restored, and rewriteDelay the time after
	// which the operator and the targets write again what it lacks.
	copyAge      = 2 * time.Second
	rewriteDelay = 700 * time.Millisecond
)

// restoreStore restores the store from a copy, and has what it lacks written again. Registrations of
// targets that have ended since lapse.
func (r *run) restoreStore() error {
	older := r.store.Copy()
	time.Sleep(copyAge)
	r.store.Restore(older)
	time.Sleep(rewriteDelay)
	r.publishMu.Lock()
	err := r.store.PutConfiguration(configuration(r.checker.latestVersion()))
	r.publishMu.Unlock()
	running := make(map[string]bool)
	for _, site := range slices.Concat(r.targets, r.joiners) {
		if target := site.current(); target != nil {
			running[target.ID] = true
		}
		err = errors.Join(err, site.registerAgain())
	}
	time.Sleep(registrationLapse)
	for _, id := range older.Targets() {
		if !running[id] {
			r.store.DeleteTarget(id)
		}
	}
	return err
}

// injectRouter injects one fault of a router and returns after its end.
func (r *run) injectRouter(f Fault, router *router) error {
	switch f.Kind {
	case KillRouter:
		return router.replace(syscall.SIGKILL, f.Duration)
	case StopRouter:
		return router.replace(syscall.SIGTERM, 0)
	case PauseRouter:
		router.signal(syscall.SIGSTOP, false)
		time.Sleep(f.Duration)
		router.signal(syscall.SIGCONT, false)
	case ReloadRouter:
		router.signal(syscall.SIGHUP, false)
	case DelayCallers:
		setModeFor(router.callerRelay, delay, f.Duration)
	case CutAnswers:
		setModeFor(router.callerRelay, holdAnswers, f.Duration)
	case ResetCallers:
		router.callerRelay.reset()
	case StoreLinkReset:
		router.storeRelay.reset()
	case StoreLinkRefuse:
		return router.storeRelay.refuseFor(f.Duration)
	case SlowRouter:
		router.slowDown(f.Duration)
	default:
		return router.injectLinks(linkFaults[f.Kind], f.Duration)
	}
	return nil
}

// setModeFor sets a relay's mode for the duration d.
func setModeFor(l *relay, m relayMode, d time.Duration) {
	l.setMode(m)
	time.Sleep(d)
	l.setMode(forward)
}

// close stops the processes, the targets, the callers and the store.
func (r *run) close() {
	close(r.done)
	for _, router := range r.routers {
		router.close()
	}
	for _, t := range slices.Concat(r.targets, r.joiners) {
		t.close()
	}
	r.callers.Wait()
	if r.network != nil {
		r.network.close()
	}
	if r.server != nil {
		r.server.Close()
	}
}

const (
	// maxLogLines bounds the log lines in a report.
	maxLogLines = 40
	// logDelay is the time in which the routers write the log lines of a request.
	logDelay = 300 * time.Millisecond
)

// requestLog returns the log lines of all routers that contain one of the request IDs.
func (r *run) requestLog(requests []string) []string {
	var lines []string
	for _, router := range r.routers {
		file, err := os.Open(router.logPath())
		if err != nil {
			lines = append(lines, err.Error())
			continue
		}
		scanner := bufio.NewScanner(file)
		for scanner.Scan() && len(lines) < maxLogLines {
			contains := func(request string) bool { return strings.Contains(scanner.Text(), fmt.Sprintf("%q", request)) }
			if slices.ContainsFunc(requests, contains) {
				lines = append(lines, scanner.Text())
			}
		}
		file.Close()
	}
	return lines
}

// versionPath returns the path prefix of the route that only the given configuration version
// has.
func versionPath(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// drawVersion draws a configuration version to probe: the newest or the one before it, with
// equal probability.
func (r *run) drawVersion(random *rand.Rand) uint64 {
	newest := r.checker.latestVersion()
	if newest > 1 && random.IntN(2) == 0 {
		return newest - 1
	}
	return newest
}

// publish writes the next version of the configuration to the store.
func (r *run) publish() error {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	version := r.checker.nextVersion()
	return r.store.PutConfiguration(configuration(version))
}

// configuration returns a version of the configuration. Versions differ in one route, whose
// path contains the version, so that a request to that path shows whether the version is in
// use.
func configuration(version uint64) standin.Configuration {
	versionRoute := routes[idempotentRoute]
	versionRoute.name, versionRoute.path = "own", versionPath(version)
	c := standin.Configuration{
		Version: version, APIKeys: make(map[string]string), Services: []string{plainService},
		Engines: map[string]int{streamService: engineSlots},
	}
	for _, r := range append(slices.Concat(routes, longRoutes, joinRoutes), versionRoute) {
		c.Routes = append(c.Routes, standin.Route{
			Name: r.name, Host: host, Prefix: r.path, Service: r.service, NonIdempotent: r.nonIdempotent, Stream: r.stream,
			Resumable: r.resumable, Timeout: r.timeout, LatencyObjective: r.timeout / 2, MaxAttempts: r.maxAttempts,
		})
	}
	for i := range workspaces {
		c.APIKeys[workspaceName(i)] = apiKey(workspaceName(i))
	}
	return c
}

// engineSlots is the number of requests that a model engine runs in one batch.
const engineSlots = 16

func workspaceName(i int) string { return fmt.Sprintf("shop%d", i) }

func apiKey(workspace string) string { return "key-" + workspace }
