package deployment_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	"github.com/chiveseam/chiveseam/internal/standin/loadlog"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// A crash must close the engine's server only for the restart delay: after it the engine
// listens on the same address again.
func TestCrashedEngineRestarts(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	c := &v1.Configuration{
		Pools:   []*v1.Pool{{Name: "p", Kind: v1.PoolKind_ENGINE}},
		Targets: []*v1.Target{{Name: "e", Pool: "p", Address: address, Slots: 1}},
	}
	group := deployment.NewGroup(10 * time.Millisecond)
	is.NoErr(group.StartEngines(c, deployment.EngineOptions{}))
	_, err := http.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"fault=crash"}`))
	is.True(err != nil)
	for {
		resp, err := http.Get("http://" + address + loadlog.Path)
		if err == nil {
			resp.Body.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.NoErr(group.Stop())
}

// The third router in two zones is in the first zone again. A configuration without
// zones is rejected.
func TestPlanRoutersAssignsZonesRoundRobin(t *testing.T) {
	is := is.New(t)
	c := &v1.Configuration{Zones: []*v1.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}}
	routers, err := deployment.PlanRouters(c, 3, 7500)
	is.NoErr(err)
	is.Equal(routers[2].Instance.Zone, "a")
	is.Equal(routers[2].Instance.EntryAddress, "127.0.0.1:7502")
	_, err = deployment.PlanRouters(&v1.Configuration{}, 3, 7500)
	is.True(err != nil)
}
