package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func published(is *is.I, revision uint64) *v1.PublishedConfiguration {
	payload, err := proto.Marshal(configtest.Valid())
	is.NoErr(err)
	return &v1.PublishedConfiguration{Revision: revision, Payload: payload}
}

// A router that starts while the platform is down must not become ready without a
// configuration. It answers other routers meanwhile, and becomes ready once the platform
// is back.
func TestStartWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		platform := &fakePlatform{}
		a := n.newControl("a", platform)
		n.routers["a"] = a
		n.run(is, 10*time.Minute, "a")
		is.True(!a.Ready())
		is.True(!a.Listed())
		is.Equal(a.opts.Store.Config(), nil)
		_, has := a.Configuration(0)
		is.True(!has)
		is.Equal(a.Exchange(&v1.PeerState{Router: "unknown", Incarnation: 1}).ConfigRevision, uint64(0))

		platform.list = n.list()
		platform.configuration = published(is, 3)
		n.run(is, time.Minute, "a")
		is.True(a.Ready())
		is.True(a.Listed())
		got, has := a.Configuration(3)
		is.True(has)
		is.True(proto.Equal(got, platform.configuration))
		_, has = a.Configuration(4)
		is.True(!has)
	})
}

// A router that starts must not become ready with an older configuration than another
// router has in force, whether the platform is down or serves an outdated revision. It
// takes the newest one from the other router.
func TestStartFromPeer(t *testing.T) {
	const newest = 2
	for name, stale := range map[string]bool{"platform down": false, "platform stale": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, "a")
				platform := &fakePlatform{}
				if stale {
					platform.configuration = published(is, newest-1)
				}
				a := n.newControl("a", platform)
				n.routers["a"] = a
				n.routers["b"] = n.newControl("b", &fakePlatform{configuration: published(is, newest)})
				n.routers["b"].applyList(time.Now(), n.list())
				n.setSilent("a", true)
				n.run(is, time.Minute, "b")
				n.setSilent("a", false)
				began := time.Now()
				for !a.Ready() && time.Since(began) < time.Minute {
					n.run(is, 500*time.Millisecond, "a", "b")
				}
				is.True(a.Ready())
				is.Equal(a.opts.Store.Config().Revision, uint64(newest))
				is.Equal(a.listRevision(), uint64(1))
				t.Logf("ready after %v", time.Since(began))
			})
		})
	}
}
