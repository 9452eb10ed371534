package e2e

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/engine"
	"github.com/chiveseam/chiveseam/internal/standin/serve"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// tokensPerSecond lets an answer of a hundred tokens take half a second.
	tokensPerSecond = 200
	// runDuration is the time of a run of a service that asks for none.
	runDuration = 20 * time.Millisecond
)

// target is an engine or a service inside the test.
type target struct {
	spec    *v1.Target
	handler http.Handler
	engine  *engine.Engine
	service *service.Service

	mu      sync.Mutex
	server  *serve.Server
	crashes int
}

func newEngine(spec *v1.Target) *target {
	g := &target{spec: spec}
	g.engine = engine.New(engine.Settings{
		Name:            spec.Name,
		Slots:           int(spec.Slots),
		TokensPerSecond: tokensPerSecond,
		OnCrash:         g.crash,
	})
	g.handler = g.engine.Handler()
	return g
}

// newService returns a service that shares its ledger and log with others.
func newService(spec *v1.Target, ledger *service.Ledger, log *runLog) *target {
	g := &target{spec: spec}
	g.service = service.New(service.Settings{
		Name:     spec.Name,
		Duration: runDuration,
		Slots:    int(spec.Slots),
		OnCrash:  g.crash,
	}, ledger)
	g.handler = log.wrap(g.service.Handler())
	return g
}

// start listens on the target's address until the end of the test.
func (g *target) start(t *testing.T) {
	t.Helper()
	var server *serve.Server
	var err error
	// A process that is being started may hold a copy of the earlier listener.
	await(t, g.spec.Name+" listens", func() bool {
		server, err = serve.Start(g.spec.Address, g.handler)
		return !errors.Is(err, syscall.EADDRINUSE)
	}, func() any { return err })
	if err != nil {
		t.Fatal(err)
	}
	g.mu.Lock()
	g.server = server
	g.mu.Unlock()
	t.Cleanup(g.stop)
}

// stop closes the listener and all connections at once.
func (g *target) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server != nil {
		_ = g.server.Close()
		g.server = nil
	}
}

// crash is what a request does that ends the target.
func (g *target) crash() {
	g.mu.Lock()
	g.crashes++
	g.mu.Unlock()
	g.stop()
}

func (g *target) crashCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes
}
