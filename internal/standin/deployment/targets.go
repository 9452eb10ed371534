package deployment

import (
	"net/http"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/engine"
	"github.com/chiveseam/chiveseam/internal/standin/serve"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// member is the simulated target at one address of a group. server is guarded by
// Group.mu and nil while the target is down.
type member struct {
	address string
	handler http.Handler
	// reset discards the state that a crash of the target loses.
	reset  func()
	server *serve.Server
}

// defaultSpeedPercents are assigned in turn to targets whose configuration has no speed,
// so that the targets of a pool differ.
var defaultSpeedPercents = []uint32{100, 60, 140, 80, 120}

// referenceSpeedPercent is the speed of a target that runs at exactly the configured
// rate.
const referenceSpeedPercent = 100

// EngineOptions apply to all engines of a deployment.
type EngineOptions struct {
	// TokensPerSecond is the speed of each request on an engine with speed 100 percent.
	TokensPerSecond float64
	// LoadLag is the age of the load that GET /v1/load reports.
	LoadLag time.Duration
	// OmitUsage leaves the token usage out of answers.
	OmitUsage bool
}

// StartEngines starts an engine for each target of c in an engine pool. If one cannot
// listen, it returns the error and leaves those already started running.
func (g *Group) StartEngines(c *v1.Configuration, options EngineOptions) error {
	for i, target := range TargetsOfKind(c, v1.PoolKind_ENGINE) {
		if err := g.startEngine(target, relativeSpeed(target, i), options); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) startEngine(target *v1.Target, speed float64, options EngineOptions) error {
	m := &member{address: target.Address}
	e := engine.New(engine.Settings{
		Name:            target.Name,
		Slots:           int(target.Slots),
		TokensPerSecond: options.TokensPerSecond * speed,
		LoadLag:         options.LoadLag,
		OmitUsage:       options.OmitUsage,
		OnCrash:         func() { g.crash(m) },
	})
	m.handler = e.Handler()
	m.reset = e.Reset
	return g.start(m)
}

// ServiceOptions apply to all services of a deployment.
type ServiceOptions struct {
	// Duration is the duration of a run on a service with speed 100 percent.
	Duration time.Duration
	// LoadLag is the age of the load that GET /v1/load reports.
	LoadLag time.Duration
}

// StartServices starts a service for each target of c in a service pool. Each service
// has its own ledger, which survives crashes of the service. If one cannot listen,
// StartServices returns the error and leaves those already started running.
func (g *Group) StartServices(c *v1.Configuration, options ServiceOptions) error {
	for i, target := range TargetsOfKind(c, v1.PoolKind_SERVICE) {
		if err := g.startService(target, relativeSpeed(target, i), options); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) startService(target *v1.Target, speed float64, options ServiceOptions) error {
	m := &member{address: target.Address, reset: func() {}}
	s := service.New(service.Settings{
		Name:     target.Name,
		Duration: options.Duration,
		Speed:    speed,
		Slots:    int(target.Slots),
		LoadLag:  options.LoadLag,
		OnCrash:  func() { g.crash(m) },
	}, service.NewLedger())
	m.handler = s.Handler()
	return g.start(m)
}

// relativeSpeed returns the speed of target relative to the reference speed. i is the
// index of target among the targets of its kind.
func relativeSpeed(target *v1.Target, i int) float64 {
	percent := target.SpeedPercent
	if percent == 0 {
		percent = defaultSpeedPercents[i%len(defaultSpeedPercents)]
	}
	return float64(percent) / referenceSpeedPercent
}
