package e2e

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/internal/standin/platform"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// publishNext publishes a configuration that differs from the last one.
func (c *cluster) publishNext() uint64 {
	c.configuration = proto.CloneOf(c.configuration)
	c.configuration.Workspaces[0].Share++
	return c.publish(c.configuration)
}

// neverBelow returns a function that fails the test if a running router has a
// lower revision in force than the given one.
func (c *cluster) expectAtLeast(revision uint64) {
	c.t.Helper()
	for _, r := range c.routers {
		status := r.status()
		if r.listed && status != nil && status.Ready && status.ConfigRevision < revision {
			c.t.Errorf("%s has revision %d in force after %d", r.name, status.ConfigRevision, revision)
		}
	}
}

// expectAtLeastDuringReads looks at the revisions in force until the platform was read a
// few times more.
func (c *cluster) expectAtLeastDuringReads(revision uint64) {
	c.t.Helper()
	const reads = 20
	want := c.platform.Stats().Calls + reads
	await(c.t, "the platform is read", func() bool {
		c.expectAtLeast(revision)
		return c.platform.Stats().Calls >= want || c.t.Failed()
	}, func() any { return c.platform.Stats() })
}

func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSize{routers: 6, zones: 3, engines: 1, services: 1}, nil)
	old := c.configuration
	for range 3 {
		c.awaitRevision(c.publishNext())
	}
	inForce := c.publishNext()
	c.awaitRevision(inForce)

	c.platform.SetFaults(platform.Faults{StaleRevision: 1})
	c.expectAtLeastDuringReads(inForce)
	c.platform.SetFaults(platform.Faults{Outage: true})
	c.expectAtLeastDuringReads(inForce)

	// A restarted router gets it from its peers, with the platform down.
	restarted := c.routers[0]
	restarted.kill()
	restarted.restart()
	restarted.awaitRevision(inForce)
	restarted.awaitReady()
	expectServing(t, c)

	// The same with a platform that answers with older values.
	c.platform.SetFaults(platform.Faults{StaleRevision: 1})
	restarted.kill()
	restarted.restart()
	restarted.awaitReady()
	is.Equal(restarted.status().GetConfigRevision(), inForce) // ready means in force
	c.expectAtLeastDuringReads(inForce)

	// A lower revision that is published later is not taken.
	c.platform.SetFaults(platform.Faults{})
	payload, err := proto.Marshal(old)
	is.NoErr(err)
	c.platform.PublishConfiguration(1, payload)
	c.expectAtLeastDuringReads(inForce)
	c.awaitRevision(c.platform.PublishConfiguration(inForce+1, payload))
}

// Two operators publish at once: all routers settle on one configuration.
func TestOneRevisionWithTwoPayloads(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 4, zones: 2, engines: 1, services: 1}, nil)
	for share := range uint32(2) {
		other := proto.CloneOf(c.configuration)
		other.Workspaces[0].Share += 1 + share
		payload, err := proto.Marshal(other)
		if err != nil {
			t.Fatal(err)
		}
		c.platform.PublishConfiguration(2, payload)
	}
	c.awaitRevision(2)
	digests := map[string]bool{}
	await(t, "all routers have the same payload", func() bool {
		clear(digests)
		for _, r := range c.routers {
			digests[r.status().GetConfigDigest()] = true
		}
		return len(digests) == 1
	}, func() any { return digests })
	c.awaitRevision(c.publishNext() /* revision 3 */)
}

// A workspace that is taken away by a configuration is refused by all routers.
func TestPublishedConfigurationIsInForce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 1, services: 1}, nil)
	next := proto.CloneOf(c.configuration)
	next.Workspaces = next.Workspaces[1:]
	c.awaitRevision(c.publish(next))
	for _, r := range c.routers {
		send(r.entry, job(newOperationName(t))).expect(t, "token of a removed workspace", v1.Code_UNKNOWN_TOKEN, v1.Ran_NO)
	}
}
