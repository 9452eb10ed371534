package e2e

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/internal/standin/platform"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// publishNext publishes a configuration that differs from the latest one, and
// returns its revision.
func (c *cluster) publishNext() uint64 {
	c.configuration = proto.CloneOf(c.configuration)
	c.configuration.Workspaces[0].Share++
	return c.publish(c.configuration)
}

// expectAtLeast fails the test if a listed, ready router has a lower revision in
// force than the given one.
func (c *cluster) expectAtLeast(revision uint64) {
	c.t.Helper()
	for _, r := range c.routers {
		status := r.status()
		if r.listed && status != nil && status.Ready && status.ConfigRevision < revision {
			c.t.Errorf("%s has revision %d in force after %d", r.name, status.ConfigRevision, revision)
		}
	}
}

// expectAtLeastDuringReads repeats expectAtLeast until the routers have read the
// platform a number of further times.
func (c *cluster) expectAtLeastDuringReads(revision uint64) {
	c.t.Helper()
	const reads = 20
	want := c.platform.Stats().Calls + reads
	await(c.t, "the platform is read", func() bool {
		c.expectAtLeast(revision)
		return c.platform.Stats().Calls >= want || c.t.Failed()
	}, func() any { return c.platform.Stats() })
}

// Guards against a router that puts an older configuration in force: because the
// platform answers with stale values or not at all, after a restart, or because a
// lower revision is published later.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSize{routers: 6, zones: 3, engines: 1, services: 1}, nil)
	initial := c.configuration
	for range 3 {
		c.awaitRevision(c.publishNext())
	}
	inForce := c.publishNext()
	c.awaitRevision(inForce)

	c.platform.SetFaults(platform.Faults{StaleRevision: 1})
	c.expectAtLeastDuringReads(inForce)
	c.platform.SetFaults(platform.Faults{Outage: true})
	c.expectAtLeastDuringReads(inForce)

	// With the platform down, a restarted router gets the revision from its peers.
	restarted := c.routers[0]
	restarted.kill()
	restarted.restart()
	restarted.awaitRevision(inForce)
	restarted.awaitReady()
	expectServing(t, c)

	// The same while the platform answers with an older revision.
	c.platform.SetFaults(platform.Faults{StaleRevision: 1})
	restarted.kill()
	restarted.restart()
	restarted.awaitReady()
	is.Equal(restarted.status().GetConfigRevision(), inForce) // a ready router has the latest revision in force
	c.expectAtLeastDuringReads(inForce)

	// A lower revision that is published later is not put in force.
	c.platform.SetFaults(platform.Faults{})
	payload, err := proto.Marshal(initial)
	is.NoErr(err)
	c.platform.PublishConfiguration(1, payload)
	c.expectAtLeastDuringReads(inForce)
	c.awaitRevision(c.platform.PublishConfiguration(inForce+1, payload))
}

// Guards against routers that stay with different configurations when two operators
// publish different payloads under the same revision at the same time.
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

// Guards against routers that go on serving a workspace that a configuration in
// force no longer contains.
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
