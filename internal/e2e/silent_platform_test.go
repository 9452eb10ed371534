package e2e

import (
	"strings"
	"testing"
	"time"
)

const (
	// inForceLimit is the guaranteed time within which a published configuration
	// is in force.
	inForceLimit = 5 * time.Second
	// silentReadLimit is the time after which a router gives up a read on a silent
	// connection: the --platform-watch-wait in routerFlags plus the margin of
	// package publisher.
	silentReadLimit = time.Second + 2*time.Second
	// rereadPauseLimit is the most that a watcher pauses before and after the read
	// that fails: 0.2 s and 0.6 s, each plus the interval at which the watcher
	// checks whether to read.
	rereadPauseLimit = time.Second
)

// restartBehindPlatformRelay restarts the router so that it reaches the platform
// through the returned relay.
func restartBehindPlatformRelay(c *cluster, r *router) *relay {
	c.t.Helper()
	relay := newRelay(c.t, strings.TrimPrefix(c.platformURL, "http://"))
	r.flags = append(r.flags, "--platform-url=http://"+relay.address())
	r.kill()
	r.restart()
	c.awaitRouters()
	return relay
}

// expectInForce publishes a changed configuration and fails the test unless it is
// in force at all routers within the limit. The text what names the fault.
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

// Guards against a router that keeps an old configuration because its connections
// to the platform are silent. It must get new configurations from its peers within
// the limit, and go on serving.
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

// Guards against a router that waits on a silent connection to the platform for
// too long. It has no peers to get configurations from, and must open a new
// connection within the limit.
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
