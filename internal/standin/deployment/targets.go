package deployment

import (
	"net/http"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/engine"
	"github.com/chiveseam/chiveseam/internal/standin/serve"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// member is one target of a group. Its server is guarded by the group's lock
// and nil while the target is down.
type member struct {
	address string
	handler http.Handler
	reset   func()
	server  *serve.Server
}

// defaultSpeedPercents are given in turn, in percent, to targets whose configuration
// gives no speed.
var defaultSpeedPercents = []uint32{100, 60, 140, 80, 120}

// referenceSpeedPercent is the speed of the reference target.
const referenceSpeedPercent = 100

// EngineOptions apply to all engines of a deployment.
type EngineOptions struct {
	// TokensPerSecond is the speed of an engine of 100 percent.
	TokensPerSecond float64
	LoadLag         time.Duration
	OmitUsage       bool
}

// StartEngines starts an engine for each engine target of c.
func (g *Group) StartEngines(c *v1.Configuration, options EngineOptions) error {
	for i, target := range TargetsOf(c, v1.PoolKind_ENGINE) {
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
	// Duration is the time of a run on a service of 100 percent.
	Duration time.Duration
	LoadLag  time.Duration
}

// StartServices starts a service for each service target of c. Each has a
// ledger of its own, which outlives its crashes.
func (g *Group) StartServices(c *v1.Configuration, options ServiceOptions) error {
	for i, target := range TargetsOf(c, v1.PoolKind_SERVICE) {
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

// relativeSpeed returns the speed of the target, the i-th of its kind, relative to
// the reference.
func relativeSpeed(target *v1.Target, i int) float64 {
	percent := target.SpeedPercent
	if percent == 0 {
		percent = defaultSpeedPercents[i%len(defaultSpeedPercents)]
	}
	return float64(percent) / referenceSpeedPercent
}
