package e2e

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	"github.com/chiveseam/chiveseam/internal/standin/platform"
	"github.com/chiveseam/chiveseam/internal/standin/serve"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// listAge is the age of the first instance list. It is longer than routers
	// remember request keys (--key-lifetime), so that they know new keys to be
	// younger than the list and do not refuse them for unknown history.
	listAge     = time.Hour
	targetSlots = 8
	// retryBudgetPercent is the percentage of attempts that may be retried.
	retryBudgetPercent = 20
	// How long a target may send nothing before the first byte of its response
	// and between two tokens.
	firstByteLimit     = 5 * time.Second
	betweenTokensLimit = 2 * time.Second
)

// clusterSize is the number of routers, zones and targets of a cluster.
type clusterSize struct {
	routers, zones, engines, services int
	// relays is set if the routers connect to each other's peer addresses
	// through relays, which can drop traffic.
	relays bool
}

// cluster is a deployment under test: routers run as processes, the platform
// and the targets run inside the test process.
type cluster struct {
	t             *testing.T
	routers       []*router
	engines       []*target
	services      []*target
	ledger        *service.Ledger
	runLog        *runLog
	platform      *platform.Server
	platformURL   string
	configuration *v1.Configuration
	// listRevision is the revision of the latest published instance list.
	listRevision uint64
}

// runningClusters is a semaphore that limits how many clusters run at the same
// time.
var runningClusters = make(chan struct{}, 4)

// newCluster starts a deployment and waits until all routers are ready and
// reach each other. If change is not nil, it edits the configuration before the
// first publication. The flags are added to those of each router.
func newCluster(t *testing.T, s clusterSize, change func(*v1.Configuration), flags ...string) *cluster {
	t.Helper()
	runningClusters <- struct{}{}
	t.Cleanup(func() { <-runningClusters })
	c := &cluster{
		t:        t,
		ledger:   service.NewLedger(),
		runLog:   newRunLog(),
		platform: platform.New(platform.DefaultRate),
	}
	server, err := serve.Start("127.0.0.1:0", c.platform.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	c.platformURL = server.URL()
	c.configuration = newConfiguration(t, s)
	if change != nil {
		change(c.configuration)
	}
	c.startTargets()
	c.publish(c.configuration)
	for i := range s.routers {
		r := newRouter(c, i, zoneName(i%s.zones), flags)
		if s.relays {
			r.relay = newRelay(t, r.peer)
		}
		c.routers = append(c.routers, r)
	}
	c.publishInstanceList(time.Now().Add(-listAge))
	for _, r := range c.routers {
		r.start()
	}
	c.awaitRouters()
	return c
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i+1) }

func newConfiguration(t *testing.T, s clusterSize) *v1.Configuration {
	c := configtest.Valid()
	c.Zones = nil
	for i := range s.zones {
		c.Zones = append(c.Zones, &v1.Zone{Name: zoneName(i), Region: configtest.Region})
	}
	c.Targets = nil
	for i := range s.engines {
		c.Targets = append(c.Targets, newTarget(t, configtest.EnginePool, i, s))
	}
	for i := range s.services {
		c.Targets = append(c.Targets, newTarget(t, configtest.ServicePool, i, s))
	}
	c.Limits = &v1.Limits{
		FirstByteTimeoutMs:     uint32(firstByteLimit.Milliseconds()),
		BetweenTokensTimeoutMs: uint32(betweenTokensLimit.Milliseconds()),
		RetryBudgetPercent:     retryBudgetPercent,
	}
	return c
}

func newTarget(t *testing.T, pool string, i int, s clusterSize) *v1.Target {
	return &v1.Target{
		Name:         fmt.Sprintf("%s-%d", pool, i+1),
		Pool:         pool,
		Zone:         zoneName(i % s.zones),
		Address:      freeAddress(t),
		Slots:        targetSlots,
		SpeedPercent: 100,
		Resumes:      pool == configtest.EnginePool,
	}
}

// startTargets starts the engines and services of the configuration.
func (c *cluster) startTargets() {
	for _, spec := range deployment.TargetsOfKind(c.configuration, v1.PoolKind_ENGINE) {
		c.engines = append(c.engines, newEngine(spec))
	}
	for _, spec := range deployment.TargetsOfKind(c.configuration, v1.PoolKind_SERVICE) {
		c.services = append(c.services, newService(spec, c.ledger, c.runLog))
	}
	for _, g := range append(append([]*target{}, c.engines...), c.services...) {
		g.start(c.t)
	}
}

// publish publishes a configuration and returns its revision.
func (c *cluster) publish(configuration *v1.Configuration) uint64 {
	c.t.Helper()
	payload, err := proto.Marshal(configuration)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.platform.PublishConfiguration(0, payload)
}

// publishInstanceList publishes an instance list with the listed routers and all
// targets, dated at published.
func (c *cluster) publishInstanceList(published time.Time) {
	c.listRevision++
	list := &v1.InstanceList{
		Revision:        c.listRevision,
		PublishedUnixMs: published.UnixMilli(),
		Instances:       deployment.TargetInstances(c.configuration),
	}
	for _, r := range c.routers {
		if r.listed {
			list.Instances = append(list.Instances, r.instance())
		}
	}
	c.platform.PublishInstances(list)
}

// awaitRouters waits until all listed routers are ready and reach each other.
func (c *cluster) awaitRouters() {
	c.t.Helper()
	for _, r := range c.routers {
		if r.listed {
			r.awaitReady()
		}
	}
	for _, r := range c.routers {
		if r.listed {
			c.awaitPeers(r)
		}
	}
}

// awaitPeers waits until the router reaches as many routers as are listed.
func (c *cluster) awaitPeers(r *router) {
	c.t.Helper()
	want := 0
	for _, other := range c.routers {
		if other.listed {
			want++
		}
	}
	var peers []string
	await(c.t, r.name+" reaches all routers", func() bool {
		peers = r.status().GetPeers()
		return len(peers) == want
	}, func() any { return peers })
}

// awaitRevision waits until all listed routers have the configuration revision
// in force.
func (c *cluster) awaitRevision(revision uint64) {
	c.t.Helper()
	for _, r := range c.routers {
		if r.listed {
			r.awaitRevision(revision)
		}
	}
}

// schedulerOf waits until a router has granted slots of the pool and returns the
// router that granted the most, which is its scheduler.
func (c *cluster) schedulerOf(pool string) *router {
	c.t.Helper()
	var scheduler *router
	var mostGranted uint64
	await(c.t, "a router schedules "+pool, func() bool {
		for _, r := range c.routers {
			for _, p := range r.status().GetPools() {
				if p.Pool == pool && p.Granted > mostGranted {
					scheduler, mostGranted = r, p.Granted
				}
			}
		}
		return scheduler != nil
	}, func() any { return nil })
	return scheduler
}
