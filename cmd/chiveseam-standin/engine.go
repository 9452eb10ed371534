package main

import (
	"os"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	"github.com/chiveseam/chiveseam/internal/standin/engine"
)

// engineOptions are the flags that the commands engine and engines share.
type engineOptions struct {
	TokensPerSecond float64       `long:"tokens-per-second" default:"100" description:"speed of each request within the slots"`
	LoadLag         time.Duration `long:"load-lag" default:"500ms" description:"how far the reported load is behind"`
	OmitUsage       bool          `long:"omit-usage" description:"leave the usage out of answers"`
}

// engineCommand runs one model engine.
type engineCommand struct {
	engineOptions
	Listen      string `long:"listen" env:"CHIVESEAM_STANDIN_LISTEN" description:"IP:port to listen on" required:"true"`
	Name        string `long:"name" default:"engine" description:"name of the engine"`
	Slots       int    `long:"slots" default:"8" description:"largest batch at full speed"`
	CacheTokens int    `long:"cache-tokens" default:"65536" description:"size of the prefix cache"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	e := engine.New(engine.Settings{
		Name:            c.Name,
		Slots:           c.Slots,
		TokensPerSecond: c.TokensPerSecond,
		CacheTokens:     c.CacheTokens,
		LoadLag:         c.LoadLag,
		OmitUsage:       c.OmitUsage,
		OnCrash:         func() { os.Exit(exitCrash) },
	})
	return serveUntilSignal("engine", c.Listen, e.Handler())
}

// enginesCommand runs all model engines of a configuration.
type enginesCommand struct {
	engineOptions
	Configuration string        `long:"configuration" description:"file with a serialized configuration" required:"true"`
	RestartDelay  time.Duration `long:"restart-delay" default:"1s" description:"time from a crash to the restart"`
}

// Execute implements flags.Commander.
func (c *enginesCommand) Execute([]string) error {
	configuration, err := deployment.ReadConfiguration(c.Configuration)
	if err != nil {
		return err
	}
	group := deployment.NewGroup(c.RestartDelay)
	return runGroup("engines", group, func() error {
		return group.StartEngines(configuration, deployment.EngineOptions{
			TokensPerSecond: c.TokensPerSecond,
			LoadLag:         c.LoadLag,
			OmitUsage:       c.OmitUsage,
		})
	})
}
