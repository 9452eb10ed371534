package e2e

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// revisionGap is how long one router is held back while the others take a
	// revision in: shorter than the silence after which it counts as lost.
	revisionGap = 300 * time.Millisecond
	// movingSlots of each target are fewer than the callers, so that calls wait.
	movingSlots = 3
	// servedPerPhase is the number of calls of each workspace that are served
	// before and after each change.
	servedPerPhase = 15
)

var (
	dataCentres      = []string{"dc-1", "dc-2"}
	movingWorkspaces = []string{"small", "large", "third", "fourth"}
)

// newTwoDataCentreCluster returns a deployment with two data centres of two zones each, and
// four workspaces in the first.
func newTwoDataCentreCluster(t *testing.T, routers int) *cluster {
	return newCluster(t, clusterSize{routers: routers, zones: 4, engines: 4, services: 4}, func(c *v1.Configuration) {
		for i, z := range c.Zones {
			z.DataCentre = dataCentres[i/2]
		}
		for _, name := range movingWorkspaces[2:] {
			w := proto.Clone(c.Workspaces[0]).(*v1.Workspace)
			digest := sha256.Sum256([]byte("token-" + name))
			w.Name, w.TokenSha256 = name, [][]byte{digest[:]}
			c.Workspaces = append(c.Workspaces, w)
		}
		for _, g := range c.Targets {
			g.Slots = movingSlots
		}
		setDataCentreOfAll(c, dataCentres[0])
	})
}

func setDataCentreOfAll(c *v1.Configuration, dataCentre string) {
	for _, w := range c.Workspaces {
		w.DataCentre = dataCentre
	}
}

// phase is the time during which a configuration is in force everywhere.
type phase struct {
	published, inForce, ended time.Time
	// dataCentre is where each workspace's work belongs; empty stands for both.
	dataCentre map[string]string
}

// workspaceMover publishes configurations and records the phases.
type workspaceMover struct {
	t       *testing.T
	cluster *cluster
	load    *moveLoad
	log     *arrivalLog
	phases  []*phase
	// mixedRevisions counts the changes during which routers were seen to hold
	// different revisions.
	mixedRevisions int
}

// change publishes a configuration while one router is held back, and waits
// until all routers have it in force.
func (m *workspaceMover) change(pausedIndex int, edit func(*v1.Configuration)) {
	m.t.Helper()
	m.load.awaitMore(m.t, servedPerPhase)
	m.load.startLongStreams(m.t, m.log)
	edit(m.cluster.configuration)
	p := &phase{published: time.Now(), dataCentre: map[string]string{}}
	for _, w := range m.cluster.configuration.Workspaces {
		p.dataCentre[w.Name] = w.DataCentre
	}
	m.endPhase(p.published)
	paused := m.cluster.routers[pausedIndex]
	paused.signal(m.t, syscall.SIGSTOP)
	revision := m.cluster.publish(m.cluster.configuration)
	time.Sleep(revisionGap)
	if m.anyRouterAhead(paused, revision) {
		m.mixedRevisions++
	}
	paused.signal(m.t, syscall.SIGCONT)
	m.cluster.awaitRevision(revision)
	p.inForce = time.Now()
	m.phases = append(m.phases, p)
	m.load.awaitMore(m.t, servedPerPhase)
}

// anyRouterAhead reports whether a router has the revision in force while the one
// that is held back has not.
func (m *workspaceMover) anyRouterAhead(paused *router, revision uint64) bool {
	return slices.ContainsFunc(m.cluster.routers, func(r *router) bool {
		return r != paused && r.status().GetConfigRevision() == revision
	})
}

func (m *workspaceMover) endPhase(at time.Time) {
	if len(m.phases) > 0 {
		m.phases[len(m.phases)-1].ended = at
	}
}

// check checks all calls. While a configuration is in force everywhere, none
// is refused and each reaches the side where its workspace's work belongs.
func (m *workspaceMover) check() {
	m.t.Helper()
	m.endPhase(time.Now())
	refusals := map[outcome]int{}
	inFlight := 0
	var lastRefusal time.Duration
	for _, s := range m.load.calls {
		arrivals := m.log.arrivalsOf(s.operation)
		s.checkOutcome(m.t, m.cluster, arrivals)
		p, wasInForce := m.phaseOf(s.sent)
		if s.answer.code != v1.Code_OK {
			refusals[outcome{s.answer.code, s.answer.ran}]++
			lastRefusal = max(lastRefusal, s.sent.Sub(p.published))
		}
		if wasInForce {
			m.checkInForce(s, p, arrivals)
		}
		if wasInForce && s.ended.After(p.ended) {
			inFlight++
		}
	}
	if inFlight == 0 {
		m.t.Error("no call was in flight during a change")
	}
	m.t.Logf("%d calls, %d changes, %d of them with mixed revisions, %d calls in flight during a change; answers %v", len(m.load.calls), len(m.phases), m.mixedRevisions, inFlight, m.load.summary())
	m.t.Logf("refusals %v, the last %v after a publication; revisions in force everywhere after %v", refusals, lastRefusal, m.inForceDelays())
}

// phaseOf returns the phase in which a call was sent, and whether its
// configuration was in force everywhere.
func (m *workspaceMover) phaseOf(sent time.Time) (*phase, bool) {
	for _, p := range slices.Backward(m.phases) {
		if !sent.Before(p.published) {
			return p, !sent.Before(p.inForce) && sent.Before(p.ended)
		}
	}
	return &phase{published: sent}, false
}

func (m *workspaceMover) checkInForce(s sentCall, p *phase, arrivals []arrival) {
	m.t.Helper()
	if s.answer.code != v1.Code_OK {
		m.t.Errorf("%s of %s was refused %v after its data centre was in force: %v", s.operation, s.workspace, s.sent.Sub(p.inForce), s.answer)
	}
	want := p.dataCentre[s.workspace]
	for _, a := range arrivals {
		if want != "" && a.dataCentre != want && a.at.Before(p.ended) {
			m.t.Errorf("%s of %s reached %s; its work belongs to %s", s.operation, s.workspace, a.dataCentre, want)
		}
	}
}

func (m *workspaceMover) inForceDelays() []time.Duration {
	var times []time.Duration
	for _, p := range m.phases {
		times = append(times, p.inForce.Sub(p.published).Round(time.Millisecond))
	}
	return times
}

// TestWorkspacesMoveByConfigurationChange moves workspaces between data centres under
// load, one after the other, all at once, back, and to both, while a router is
// behind by a revision.
func TestWorkspacesMoveByConfigurationChange(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t, 4)
	log := logArrivals(t, c)
	m := &workspaceMover{t: t, cluster: c, load: startMoveLoad(c, movingWorkspaces), log: log}
	m.load.awaitMore(t, 1)
	for i, name := range movingWorkspaces {
		m.change(i%len(c.routers), func(c *v1.Configuration) { workspaceNamed(c, name).DataCentre = dataCentres[1] })
	}
	for i, dataCentre := range []string{dataCentres[0], dataCentres[1], "", dataCentres[0]} {
		m.change(i%len(c.routers), func(c *v1.Configuration) { setDataCentreOfAll(c, dataCentre) })
	}
	m.load.stop()
	m.check()
}

func workspaceNamed(c *v1.Configuration, name string) *v1.Workspace {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w
		}
	}
	panic(fmt.Sprintf("no workspace %q", name))
}
