package e2e

import (
	"strings"
	"testing"
	"time"
)

const (
	// inForceLimit is the promised time until a configuration is in force.
	inForceLimit = 5 * time.Second
	// silentReadLimit is the time until a read on a silent connection is given
	// up: the wait that routerFlags ask for, and the margin of package publisher.
	silentReadLimit = time.Second + 2*time.Second
	// rereadPauseLimit bounds the pauses of a watcher before the read that fails and
	// after it: 0.2 and 0.6 s, each with the interval at which it is asked.
	rereadPauseLimit = time.Second
)

// restartBehindPlatformRelay starts a router anew that reaches the platform by a relay.
func restartBehindPlatformRelay(c *cluster, r *router) *relay {
	c.t.Helper()
	relay := newRelay(c.t, strings.TrimPrefix(c.platformURL, "http://"))
	r.flags = append(r.flags, "--platform-url=http://"+relay.address())
	r.kill()
	r.restart()
	c.awaitRouters()
	return relay
}

// expectInForce publishes a configuration and fails the test unless it is in
// force at all routers within the limit.
func (c *cluster) expectInForce(what string, limit time.Duration) {
	c.t.Helper()
	published := time.Now()
	c.awaitRevision(c.publishNext())
	took := time.Since(published)
	c.t.Logf("%s: in force after %v, limit %v", what, took, limit)
	if took > limit {
		c.t.Errorf("%s: in force after %v, limit %v", what, took, limit)
	}
}

// A router whose connections to the platform are silent gets configurations
// from its peers, and serves.
func TestSilentPlatformOfOneRouter(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 1, services: 1}, nil)
	relay := restartBehindPlatformRelay(c, c.routers[0])
	faults := []struct {
		name  string
		begin func()
	}{
		{"silent in the middle of a watch", relay.silenceOpenConns},
		{"accepted and not answered", func() { relay.setSilent(false, true) }},
		{"accepted and not read", func() { relay.setSilent(true, false) }},
	}
	for _, fault := range faults {
		fault.begin()
		c.expectInForce(fault.name, inForceLimit)
		expectServing(t, c)
	}
}

// A router without peers replaces silent connections in time.
func TestSilentPlatformConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 1, zones: 1, engines: 1, services: 1}, nil)
	relay := restartBehindPlatformRelay(c, c.routers[0])
	for range 3 {
		relay.silenceOpenConns()
		c.expectInForce("open connections are silent", silentReadLimit+rereadPauseLimit)
		expectServing(t, c)
	}
}
