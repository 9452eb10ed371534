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
	// tokensPerSecond is the speed of an engine: 100 tokens take half a second.
	tokensPerSecond = 200
	// runDuration is how long a service takes for a request that names no duration.
	runDuration = 20 * time.Millisecond
)

// target is an engine or a service that runs inside the test process. Either
// engine or service is set.
type target struct {
	spec *v1.Target
	// handler is used by the next start. Tests may wrap it while the target is
	// stopped.
	handler http.Handler
	engine  *engine.Engine
	service *service.Service

	// mu guards the fields below.
	mu sync.Mutex
	// server is nil while the target is stopped.
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

// newService returns a service that counts its runs in ledger and records its
// requests in log. All services of a cluster share both.
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

// start serves on the target's address until stop or the end of the test.
func (g *target) start(t *testing.T) {
	t.Helper()
	var server *serve.Server
	var err error
	// Between fork and exec, a process that the test starts holds a copy of the
	// earlier listener, so that the address can still be in use for a moment.
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

// stop closes the listener and all connections immediately.
func (g *target) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server != nil {
		_ = g.server.Close()
		g.server = nil
	}
}

// crash stops the target and counts the crash. The engine or service calls it for
// a request that asks for a crash.
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
