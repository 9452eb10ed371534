package e2e

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/deal"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	shardCount = 3
	shardSlots = 6
	// shardFloodCallers is the number of callers that flood a shard. They need more
	// slots than the engines have.
	shardFloodCallers = 4 * shardSlots
)

// workspaceOfShard returns a workspace name that hashes to the shard.
func workspaceOfShard(shard int) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("tenant-%d", i)
		if deal.ShardOf(config.IDOf(name), shardCount) == shard {
			return name
		}
	}
}

// newShardedCluster returns a deployment whose pools have shardCount shards, and
// its two workspaces: one of the first shard and one of the second.
func newShardedCluster(t *testing.T) (c *cluster, first, second string) {
	first, second = workspaceOfShard(0), workspaceOfShard(1)
	c = newCluster(t, clusterSize{routers: 5, zones: 2, engines: 2, services: 2}, func(c *v1.Configuration) {
		for _, p := range c.Pools {
			p.Shards = shardCount
		}
		for _, g := range c.Targets {
			g.Slots = shardSlots
		}
		template := c.Workspaces[0]
		c.Workspaces = nil
		for _, name := range []string{first, second} {
			w := proto.CloneOf(template)
			digest := sha256.Sum256([]byte("token-" + name))
			w.Name, w.TokenSha256 = name, [][]byte{digest[:]}
			c.Workspaces = append(c.Workspaces, w)
		}
	})
	return c, first, second
}

// shardStatus returns the scheduler of a shard of the engine pool, which is the
// router that granted the most slots of the shard, and its status of the shard.
// Both are nil if no router reports the shard.
func (c *cluster) shardStatus(shard uint32) (*router, *v1.PoolStatus) {
	var scheduler *router
	var status *v1.PoolStatus
	for _, r := range c.routers {
		for _, p := range r.status().GetPools() {
			if p.Pool == configtest.EnginePool && p.Shard == shard && (status == nil || p.Granted > status.Granted) {
				scheduler, status = r, p
			}
		}
	}
	return scheduler, status
}

// slotsOf returns the number of slots of all targets in the status.
func slotsOf(p *v1.PoolStatus) uint32 {
	slots := uint32(0)
	for _, target := range p.GetTargets() {
		slots += target.Slots
	}
	return slots
}

// awaitBorrowedSlots waits until the shard has more slots than an equal division
// of the pool among the shards gives it.
func (c *cluster) awaitBorrowedSlots(shard uint32) {
	c.t.Helper()
	slots := uint32(0)
	await(c.t, "the flooded shard has slots that other shards do not use", func() bool {
		_, p := c.shardStatus(shard)
		slots = slotsOf(p)
		return slots > 2*shardSlots/shardCount
	}, func() any { return slots })
}

// testShardLoss sends more requests to one shard than the engines can take, and a
// few to another. Then it ends the scheduler of the flooded shard, and after that
// the dealer, which distributes the pool's slots among the shards. After each step
// both workspaces must be served and the flooded shard must again get slots that
// the others do not use. No operation may run twice.
func testShardLoss(t *testing.T, stopRouter func(*router)) {
	t.Helper()
	c, first, second := newShardedCluster(t)
	warmUp := startSchedulerLoad(t, c.routers, first, 1)
	warmUp.awaitMore(t, 1)
	warmUp.stop(t)
	scheduler, status := c.shardStatus(0)
	dealer := c.routerNamed(status.Dealer)
	others := slices.DeleteFunc(slices.Clone(c.routers), func(r *router) bool { return r == scheduler || r == dealer })
	t.Logf("shard 0 is scheduled by %s, the pool is dealt by %s", scheduler.name, dealer.name)

	flood := startSchedulerLoad(t, others, first, shardFloodCallers)
	light := startSchedulerLoad(t, others, second, lightCallers)
	expectProgress := func(after string) {
		began := time.Now()
		flood.awaitMore(t, shardFloodCallers)
		light.awaitMore(t, 2*lightCallers)
		c.awaitBorrowedSlots(0)
		t.Logf("after %s: both workspaces were served within %v", after, time.Since(began).Round(time.Millisecond))
	}
	expectProgress("the start of the load")
	stopRouter(scheduler)
	expectProgress("the end of the scheduler")
	stopRouter(dealer)
	expectProgress("the end of the dealer")
	flood.stop(t)
	light.stop(t)
	if doubles := c.ledger.Report().Doubles; len(doubles) > 0 {
		t.Errorf("ran more than once: %v", doubles)
	}
}

// Guards against a shard that gets no more slots when its scheduler and then the
// dealer are killed.
func TestSchedulerAndDealerOfShardsAreKilled(t *testing.T) {
	t.Parallel()
	testShardLoss(t, func(r *router) { r.kill() })
}

// Like TestSchedulerAndDealerOfShardsAreKilled, with planned stops by SIGTERM.
func TestSchedulerAndDealerOfShardsStop(t *testing.T) {
	t.Parallel()
	testShardLoss(t, func(r *router) { r.signal(t, syscall.SIGTERM) })
}

// TestNumberOfShardsChangesUnderLoad guards against requests that are lost or run
// twice when the number of shards changes while requests wait and run. One router
// is paused during each change, so that for a while routers have different
// revisions in force.
func TestNumberOfShardsChangesUnderLoad(t *testing.T) {
	t.Parallel()
	c, first, second := newShardedCluster(t)
	paused, others := c.routers[0], c.routers[1:]
	flood := startSchedulerLoad(t, c.routers, first, shardFloodCallers)
	light := startSchedulerLoad(t, others, second, lightCallers)
	for _, shards := range []uint32{1, 2, shardCount} {
		flood.awaitMore(t, shardFloodCallers)
		for _, p := range c.configuration.Pools {
			p.Shards = shards
		}
		paused.signal(t, syscall.SIGSTOP)
		revision := c.publish(c.configuration)
		time.Sleep(revisionGap)
		paused.signal(t, syscall.SIGCONT)
		c.awaitRevision(revision)
		light.awaitMore(t, 2*lightCallers)
	}
	flood.awaitMore(t, shardFloodCallers)
	flood.stop(t)
	light.stop(t)
	if doubles := c.ledger.Report().Doubles; len(doubles) > 0 {
		t.Errorf("ran more than once: %v", doubles)
	}
}

// routerNamed returns the router with the name. It ends the test if there is none.
func (c *cluster) routerNamed(name string) *router {
	c.t.Helper()
	i := slices.IndexFunc(c.routers, func(r *router) bool { return r.name == name })
	if i < 0 {
		c.t.Fatalf("there is no router %q", name)
	}
	return c.routers[i]
}
