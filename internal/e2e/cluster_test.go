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
	// listAge is how long ago the first instance list was published: longer
	// than the memory of keys, so that keys made now are known to be younger.
	listAge     = time.Hour
	targetSlots = 8
	// retryBudgetPercent is the share of attempts that may be repeated.
	retryBudgetPercent = 20
	// Limits of the targets' silence.
	firstByteLimit     = 5 * time.Second
	betweenTokensLimit = 2 * time.Second
)

// size is the number of instances of a cluster.
type size struct {
	routers, zones, engines, services int
	// relays is set if routers reach each other through relays.
	relays bool
}

// cluster is a deployment: routers as processes, and a platform and targets
// inside the test.
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
	// listRevision is the revision of the instance list published last.
	listRevision uint64
}

// clusterSlots bounds the deployments that run at the same time.
var clusterSlots = make(chan struct{}, 4)

// newCluster starts a deployment and waits until all routers are ready and
// know each other. Change may alter the configuration before it is published.
func newCluster(t *testing.T, s size, change func(*v1.Configuration), flags ...string) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
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
	c.publishList(time.Now().Add(-listAge))
	for _, r := range c.routers {
		r.start()
	}
	c.awaitFleet()
	return c
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i+1) }

func newConfiguration(t *testing.T, s size) *v1.Configuration {
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

func newTarget(t *testing.T, pool string, i int, s size) *v1.Target {
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

// publishList publishes the routers that are meant to run and all targets.
func (c *cluster) publishList(published time.Time) {
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

// awaitFleet waits until all running routers are ready and reach each other.
func (c *cluster) awaitFleet() {
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

// awaitRevision waits until all running routers have the revision in force.
func (c *cluster) awaitRevision(revision uint64) {
	c.t.Helper()
	for _, r := range c.routers {
		if r.listed {
			r.awaitRevision(revision)
		}
	}
}

// schedulerOf returns the router that schedules the pool: the one that granted
// most of its slots.
func (c *cluster) schedulerOf(pool string) *router {
	c.t.Helper()
	var holder *router
	var most uint64
	await(c.t, "a router schedules "+pool, func() bool {
		for _, r := range c.routers {
			for _, p := range r.status().GetPools() {
				if p.Pool == pool && p.Granted > most {
					holder, most = r, p.Granted
				}
			}
		}
		return holder != nil
	}, func() any { return nil })
	return holder
}
