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
	// revisionGap is how long one router is paused while the others apply a new
	// revision. It is shorter than --peer-suspect-after, so that the others do not
	// count the paused router as unreachable.
	revisionGap = 300 * time.Millisecond
	// movingSlots is the number of slots of each target: fewer than there are
	// callers, so that calls wait.
	movingSlots = 3
	// servedPerPhase is the number of calls of each workspace that must be served
	// before and after each change.
	servedPerPhase = 15
)

var (
	dataCentres      = []string{"dc-1", "dc-2"}
	movingWorkspaces = []string{"small", "large", "third", "fourth"}
)

// newTwoDataCentreCluster returns a deployment with two data centres of two zones
// each. All four workspaces belong to the first data centre.
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

// setDataCentreOfAll moves all workspaces to the data centre. If dataCentre is empty,
// both data centres may serve them.
func setDataCentreOfAll(c *v1.Configuration, dataCentre string) {
	for _, w := range c.Workspaces {
		w.DataCentre = dataCentre
	}
}

// phase covers the time of one configuration: from its publication, through the
// time at which it was in force at all routers, to the next publication.
type phase struct {
	published, inForce, ended time.Time
	// dataCentre maps each workspace to the data centre in which its requests must
	// run; empty if they may run in both.
	dataCentre map[string]string
}

// workspaceMover publishes configurations that move workspaces between data
// centres, and checks the calls of the load against them.
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

// change edits and publishes the configuration while one router is paused by
// SIGSTOP, resumes the router, and waits until all routers have the new revision
// in force. Calls are in flight during the change.
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

// anyRouterAhead reports whether a router other than the paused one has the
// revision in force.
func (m *workspaceMover) anyRouterAhead(paused *router, revision uint64) bool {
	return slices.ContainsFunc(m.cluster.routers, func(r *router) bool {
		return r != paused && r.status().GetConfigRevision() == revision
	})
}

// endPhase sets the end of the latest phase, if there is one.
func (m *workspaceMover) endPhase(at time.Time) {
	if len(m.phases) > 0 {
		m.phases[len(m.phases)-1].ended = at
	}
}

// check checks all calls of the load, which must have stopped. Calls that were sent
// while a configuration was in force at all routers must not be refused, and must
// reach the data centre of their workspace.
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

// checkInForce checks a call that was sent while the configuration of phase p was
// in force at all routers.
func (m *workspaceMover) checkInForce(s sentCall, p *phase, arrivals []arrival) {
	m.t.Helper()
	if s.answer.code != v1.Code_OK {
		m.t.Errorf("%s of %s was refused %v after its configuration was in force: %v", s.operation, s.workspace, s.sent.Sub(p.inForce), s.answer)
	}
	want := p.dataCentre[s.workspace]
	for _, a := range arrivals {
		if want != "" && a.dataCentre != want && a.at.Before(p.ended) {
			m.t.Errorf("%s of %s reached %s; its workspace belongs to %s", s.operation, s.workspace, a.dataCentre, want)
		}
	}
}

// inForceDelays returns the time of each phase from publication until the
// configuration was in force at all routers.
func (m *workspaceMover) inForceDelays() []time.Duration {
	var times []time.Duration
	for _, p := range m.phases {
		times = append(times, p.inForce.Sub(p.published).Round(time.Millisecond))
	}
	return times
}

// TestWorkspacesMoveByConfigurationChange guards against requests that are lost, run
// twice or reach the wrong data centre when a configuration moves workspaces under
// load: one after the other, all together, back, and to both data centres. During
// each change one router is a revision behind.
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
