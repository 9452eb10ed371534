// Package soak plays random faults against real router processes and checks the
// promises of docs/PROMISES.md from what callers and targets see.
//
// The routers are processes of their own. The store and the targets of the users'
// platform are stand-ins within the soak, behind loopback relays that delay, reset,
// cut and silence connections.
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
	"syscall"
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// Config is one run of the soak.
type Config struct {
	// Program is the path of chiveseam-edge.
	Program string
	// Dir takes settings and logs; it exists.
	Dir  string
	Seed uint64
	// Length is the time of the faults; the fleet is watched for some seconds more.
	Length time.Duration
	// Routers, Targets and Callers are the sizes. Half of the targets are engines.
	Routers, Targets, Callers int
	// Kinds are the kinds of fault; nil for all.
	Kinds []Kind
}

const (
	host       = "soak.example"
	zones      = 3
	workspaces = 4
	// grace is the time for a planned stop, memoryMB the memory of a router: those of
	// a deployment of the first milestone.
	grace    = 8 * time.Second
	memoryMB = 256
	// startTimeout bounds the start of the fleet.
	startTimeout = 20 * time.Second
	// recovery is the time after the last fault in which the fleet comes back, and
	// calmTime that in which it then has to serve.
	recovery = 12 * time.Second
	calmTime = 2 * time.Second
)

// Report is the outcome of a run.
type Report struct {
	Seed   uint64
	Faults []Fault
	// Counts are requests, runs, and answers by status.
	Counts map[string]int
	// Violation is the first broken promise, nil if all were kept.
	Violation *Violation
	// Log holds the log lines of the violation's request.
	Log []string
}

// String returns the report as text.
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
	fmt.Fprintf(&b, "  BROKEN: %s\n", r.Violation)
	for _, line := range r.Log {
		fmt.Fprintf(&b, "    %s\n", line)
	}
	return b.String()
}

// run is a run in progress.
type run struct {
	config  Config
	judge   *judge
	store   *standin.Store
	routers []*router
	targets []*place
	done    chan struct{}
	faults  sync.WaitGroup
	callers sync.WaitGroup
	// publishing is held while a version is published.
	publishing sync.Mutex
	server     *http.Server
	errors     chan error
}

// Run plays one run. The error is one of the soak itself; a broken promise is in the
// report. Closing stop ends the run early.
func Run(c Config, stop <-chan struct{}) (*Report, error) {
	faults := Schedule(c.Seed, c)
	r := &run{config: c, store: standin.NewStore(), done: make(chan struct{}), errors: make(chan error, 1)}
	r.judge = newJudge(time.Now(), faults)
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.judge.begin()
	r.call()
	if err := r.play(faults, stop); err != nil {
		return nil, err
	}
	report := &Report{Seed: c.Seed, Faults: faults, Violation: r.judge.violated(), Counts: r.judge.counted()}
	if report.Violation != nil {
		report.Log = r.logOf(report.Violation.Request)
	}
	return report, nil
}

func (r *run) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r.store}
	go func() {
		if err := r.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.report(err)
		}
	}()
	if err := r.publish(); err != nil {
		return err
	}
	for i := range r.config.Targets {
		t, err := newPlace(i, r)
		if err != nil {
			return err
		}
		r.targets = append(r.targets, t)
	}
	for i := range r.config.Routers {
		router, err := newRouter(i, r.config, l.Addr().String(), r.judge)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, router)
		if err := router.start(); err != nil {
			return err
		}
		go router.watchReady(r.done)
	}
	return r.awaitReady()
}

func (r *run) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(relayPoll) {
		ready := 0
		for _, router := range r.routers {
			if router.rotation.Load() {
				ready++
			}
		}
		if ready == len(r.routers) {
			return nil
		}
	}
	return errors.New("soak: the routers are not ready in time")
}

// call starts the callers.
func (r *run) call() {
	for i := range r.config.Callers {
		c := &caller{run: r, name: i, random: rand.New(rand.NewPCG(r.config.Seed, uint64(i)+1))}
		r.callers.Go(func() { c.loop(r.done) })
	}
}

// pick returns a router in rotation for a new connection, nil if there is none.
func (r *run) pick(random *rand.Rand) *router {
	for _, i := range random.Perm(len(r.routers)) {
		if r.routers[i].rotation.Load() {
			return r.routers[i]
		}
	}
	return nil
}

// report keeps the first error of the soak itself.
func (r *run) report(err error) {
	if err == nil {
		return
	}
	select {
	case r.errors <- err:
	default:
	}
}

// play injects the faults and watches the fleet recover.
func (r *run) play(faults []Fault, stop <-chan struct{}) error {
	for _, f := range faults {
		if !r.sleep(time.Until(r.judge.start.Add(f.At)), stop) {
			return r.failure()
		}
		r.faults.Go(func() { r.report(r.inject(f)) })
	}
	r.faults.Wait()
	if !r.sleep(recovery, stop) {
		return r.failure()
	}
	served, sent := r.judge.tally()
	r.sleep(calmTime, stop)
	servedAfter, sentAfter := r.judge.tally()
	if r.judge.violated() == nil {
		r.judge.recovered(servedAfter-served, sentAfter-sent)
	}
	return r.failure()
}

// sleep returns false if the run is to end: by a broken promise, an error, or a stop.
func (r *run) sleep(d time.Duration, stop <-chan struct{}) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		select {
		case <-stop:
			return false
		case <-time.After(min(relayPoll, time.Until(end))):
		}
		if r.judge.violated() != nil || len(r.errors) > 0 {
			return false
		}
	}
	return true
}

func (r *run) failure() error {
	select {
	case err := <-r.errors:
		return fmt.Errorf("soak: %w", err)
	default:
		return nil
	}
}

// inject plays one fault to its end.
func (r *run) inject(f Fault) error {
	switch {
	case f.Kind.onRouter():
		return r.injectRouter(f, r.routers[f.On])
	case f.Kind.onTarget():
		return r.targets[f.On].inject(f)
	case f.Kind == Publish:
		return r.publish()
	case f.Kind == StoreCompact:
		r.store.Compact()
		return nil
	}
	mode := standin.Refusing
	if f.Kind == StoreSilent {
		mode = standin.Silent
	}
	r.store.SetMode(mode)
	time.Sleep(f.For)
	r.store.SetMode(standin.Serving)
	return nil
}

func (r *run) injectRouter(f Fault, to *router) error {
	switch f.Kind {
	case KillRouter:
		return to.replace(syscall.SIGKILL, f.For)
	case StopRouter:
		return to.replace(syscall.SIGTERM, 0)
	case PauseRouter:
		to.signal(syscall.SIGSTOP, false)
		time.Sleep(f.For)
		to.signal(syscall.SIGCONT, false)
	case ReloadRouter:
		to.signal(syscall.SIGHUP, false)
	case DelayCallers:
		during(to.callers, delay, f.For)
	case CutAnswers:
		during(to.callers, cutBack, f.For)
	case ResetCallers:
		to.callers.reset()
	case StoreLink:
		during(to.store, silence, f.For)
	case StoreReset:
		to.store.reset()
	}
	return nil
}

func during(l *relay, m relayMode, d time.Duration) {
	l.setMode(m)
	time.Sleep(d)
	l.setMode(pass)
}

func (r *run) close() {
	close(r.done)
	for _, router := range r.routers {
		router.close()
	}
	for _, t := range r.targets {
		t.close()
	}
	r.callers.Wait()
	if r.server != nil {
		r.server.Close()
	}
}

// maxLogLines bounds the log lines of a report.
const maxLogLines = 40

// logOf returns the routers' log lines that name a request.
func (r *run) logOf(request string) []string {
	var lines []string
	for _, router := range r.routers {
		file, err := os.Open(router.logPath())
		if err != nil {
			lines = append(lines, err.Error())
			continue
		}
		scanner := bufio.NewScanner(file)
		for scanner.Scan() && len(lines) < maxLogLines {
			if strings.Contains(scanner.Text(), fmt.Sprintf("%q", request)) {
				lines = append(lines, scanner.Text())
			}
		}
		file.Close()
	}
	return lines
}

func versionPath(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// version returns a version to ask for: mostly the newest, or the one before.
func (r *run) version(random *rand.Rand) uint64 {
	newest := r.judge.version()
	if newest > 1 && random.IntN(2) == 0 {
		return newest - 1
	}
	return newest
}

// publish writes the next version of the configuration, which has a route of its own
// in place of that of the version before.
func (r *run) publish() error {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	version := r.judge.publishes()
	return r.store.PutConfiguration(configuration(version))
}

func configuration(version uint64) standin.Configuration {
	own := routes[idemRoute]
	own.name, own.path = "own", versionPath(version)
	c := standin.Configuration{
		Version: version, APIKeys: make(map[string]string), Services: []string{plainService},
		Engines: map[string]int{streamService: engineSlots},
	}
	for _, r := range append(slices.Clone(routes), own) {
		c.Routes = append(c.Routes, standin.Route{
			Name: r.name, Host: host, Prefix: r.path, Service: r.service, NonIdempotent: r.once, Stream: r.stream,
			Resumable: r.resumable, Timeout: r.timeout, LatencyObjective: r.timeout / 2, MaxAttempts: r.attempts,
		})
	}
	for i := range workspaces {
		c.APIKeys[workspaceName(i)] = keyOf(workspaceName(i))
	}
	return c
}

// engineSlots is the batch of a model engine.
const engineSlots = 16

func workspaceName(i int) string { return fmt.Sprintf("shop%d", i) }

func keyOf(workspace string) string { return "key-" + workspace }
