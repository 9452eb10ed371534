package main

import (
	"os"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	"github.com/chiveseam/chiveseam/internal/standin/load"
)

// loadCommand sends load to routers and prints a report.
type loadCommand struct {
	Configuration string        `long:"configuration" description:"file with a serialized configuration" required:"true"`
	Routers       []string      `long:"router" description:"IP:port of a router's entry; repeat for each" required:"true"`
	Admins        []string      `long:"admin" description:"IP:port of a router's endpoint for operators; repeat for each"`
	Duration      time.Duration `long:"duration" default:"30s" description:"time during which requests are sent"`
	Drain         time.Duration `long:"drain" default:"10s" description:"time for requests in progress after that"`
	Backlogged    int           `long:"backlogged" default:"4" description:"number of backlogged workspaces"`
	Concurrency   int           `long:"concurrency" description:"open requests of a backlogged workspace in each pool (default: half of the slots)"`
	LightInterval time.Duration `long:"light-interval" default:"1s" description:"mean time between requests of another workspace"`
	FaultPercent  int           `long:"fault-percent" description:"part of service calls that run and get no answer"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the random choices"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	configuration, err := deployment.ReadConfiguration(c.Configuration)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	report := load.Run(ctx, load.Options{
		Configuration: configuration,
		Routers:       c.Routers,
		Admins:        c.Admins,
		Duration:      c.Duration,
		Drain:         c.Drain,
		Backlogged:    c.Backlogged,
		Concurrency:   c.Concurrency,
		LightInterval: c.LightInterval,
		FaultPercent:  c.FaultPercent,
		Seed:          c.Seed,
	})
	report.Print(os.Stdout)
	return report.Err()
}
