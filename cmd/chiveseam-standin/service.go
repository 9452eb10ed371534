package main

import (
	"os"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	"github.com/chiveseam/chiveseam/internal/standin/service"
)

// serviceCommand runs one plain service.
type serviceCommand struct {
	Listen   string        `long:"listen" env:"CHIVESEAM_STANDIN_LISTEN" description:"IP:port to listen on" required:"true"`
	Name     string        `long:"name" default:"service" description:"name of the service"`
	Duration time.Duration `long:"duration" default:"50ms" description:"time of a run that asks for none"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	s := service.New(service.Settings{
		Name:     c.Name,
		Duration: c.Duration,
		OnCrash:  func() { os.Exit(exitCrash) },
	}, service.NewLedger())
	return serveUntilSignal("service", c.Listen, s.Handler())
}

// servicesCommand runs all plain services of a configuration.
type servicesCommand struct {
	Configuration string        `long:"configuration" description:"file with a serialized configuration" required:"true"`
	Duration      time.Duration `long:"duration" default:"50ms" description:"time of a run that asks for none"`
	LoadLag       time.Duration `long:"load-lag" default:"500ms" description:"how far the reported load is behind"`
	RestartDelay  time.Duration `long:"restart-delay" default:"1s" description:"time from a crash to the restart"`
}

// Execute implements flags.Commander.
func (c *servicesCommand) Execute([]string) error {
	configuration, err := deployment.ReadConfiguration(c.Configuration)
	if err != nil {
		return err
	}
	group := deployment.NewGroup(c.RestartDelay)
	return runGroup("services", group, func() error {
		return group.StartServices(configuration, deployment.ServiceOptions{Duration: c.Duration, LoadLag: c.LoadLag})
	})
}
