package e2e

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// routerFlags are set on all routers under test. Their durations are shorter than
// the defaults, so that routers notice failures sooner.
var routerFlags = []string{
	"--peer-heartbeat-interval=100ms",
	"--peer-suspect-after=1s",
	"--platform-watch-wait=1s",
	"--platform-fallback-poll=1s",
	"--key-lifetime=1m",
	"--key-right=4s",
	"--clock-margin=100ms",
}

// adminTimeout limits a request to a router's admin address. The kernel still
// accepts connections for a router that is paused by SIGSTOP, but nothing
// answers on them.
const adminTimeout = 2 * time.Second

var adminClient = &http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// router is one chiveseam-router process. It can be restarted as a new
// incarnation with the same name and addresses.
type router struct {
	*process
	cluster            *cluster
	name, zone         string
	entry, peer, admin string
	incarnation        uint64
	flags              []string
	// relay stands between the other routers and the peer address. It is nil if
	// they connect to the peer address directly.
	relay *relay
	// listed is set if the instance lists to be published contain the router.
	listed bool
}

func newRouter(c *cluster, i int, zone string, flags []string) *router {
	return &router{
		cluster:     c,
		name:        fmt.Sprintf("router-%d", i+1),
		zone:        zone,
		entry:       freeAddress(c.t),
		peer:        freeAddress(c.t),
		admin:       freeAddress(c.t),
		incarnation: 1,
		flags:       flags,
		listed:      true,
	}
}

// instance returns the router's entry in the instance list.
func (r *router) instance() *v1.Instance {
	return &v1.Instance{
		Name:         r.name,
		Incarnation:  r.incarnation,
		Zone:         r.zone,
		PeerAddress:  r.advertisedPeerAddress(),
		EntryAddress: r.entry,
		AdminAddress: r.admin,
		State:        v1.InstanceState_LIVE,
	}
}

func (r *router) args() []string {
	args := []string{
		"--name=" + r.name,
		"--zone=" + r.zone,
		"--region=" + r.region(),
		"--entry-listen=" + r.entry,
		"--peer-listen=" + r.peer,
		"--peer-advertise=" + r.advertisedPeerAddress(),
		"--admin-listen=" + r.admin,
		"--platform-url=" + r.cluster.platformURL,
		fmt.Sprintf("--incarnation=%d", r.incarnation),
	}
	args = append(args, routerFlags...)
	return append(args, r.flags...)
}

// advertisedPeerAddress returns the address that other routers connect to: the
// relay's if there is one, otherwise the peer address.
func (r *router) advertisedPeerAddress() string {
	if r.relay == nil {
		return r.peer
	}
	return r.relay.address()
}

// region returns the region of the router's zone, empty if the configuration
// has no such zone.
func (r *router) region() string {
	for _, z := range r.cluster.configuration.Zones {
		if z.Name == r.zone {
			return z.Region
		}
	}
	return ""
}

func (r *router) start() {
	r.cluster.t.Helper()
	r.process = startProcess(r.cluster.t, r.name, "chiveseam-router", r.args()...)
}

// restart starts the router, which must have ended, as a new incarnation with
// empty state, and publishes an instance list that contains it.
func (r *router) restart() {
	r.cluster.t.Helper()
	r.incarnation++
	r.listed = true
	r.start()
	r.cluster.publishInstanceList(time.Now())
}

// ready reports whether /readyz answers 200, so that a load balancer would send
// requests to the router.
func (r *router) ready() bool {
	resp, err := adminClient.Get("http://" + r.admin + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *router) awaitReady() {
	r.cluster.t.Helper()
	await(r.cluster.t, r.name+" is ready", r.ready, func() any { return string(r.logTail()) })
}

// status returns the router's /status, or nil if the router does not answer with
// a readable one.
func (r *router) status() *v1.RouterStatus {
	resp, err := adminClient.Get("http://" + r.admin + "/status")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil
	}
	status := &v1.RouterStatus{}
	if protojson.Unmarshal(data, status) != nil {
		return nil
	}
	return status
}

// awaitRevision waits until the router has exactly this revision of the
// configuration in force.
func (r *router) awaitRevision(revision uint64) {
	r.cluster.t.Helper()
	var seen uint64
	await(r.cluster.t, fmt.Sprintf("%s has revision %d in force", r.name, revision), func() bool {
		seen = r.status().GetConfigRevision()
		return seen == revision
	}, func() any { return seen })
}
