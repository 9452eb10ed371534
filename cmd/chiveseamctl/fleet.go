package main

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/chiveseam/chiveseam/internal/operator"
)

// errIncomplete makes the command status exit with a failure after its tables are printed,
// because they lack a router.
var errIncomplete = errors.New("a router that is not leaving gave no status")

// fleetOptions are the flags that name the routers to ask for their status.
type fleetOptions struct {
	Routers  []string      `long:"router" value-name:"IP:PORT" description:"Address for operators of a router; may be repeated"`
	Platform string        `long:"platform" value-name:"URL" description:"Base URL of the platform, whose list names the routers"`
	Timeout  time.Duration `long:"timeout" default:"3s" description:"Time for each router to answer"`
}

// validate returns a usage error if the flags are missing, contradictory or malformed.
func (o fleetOptions) validate() error {
	if (len(o.Routers) == 0) == (o.Platform == "") {
		return usageError("either --router or --platform is needed")
	}
	if o.Timeout <= 0 {
		return usageError("--timeout: want a duration above 0s")
	}
	for _, address := range o.Routers {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return usageError("--router: " + address + ": want IP:port")
		}
	}
	return nil
}

// usageError returns an error for which the program exits with exitUsage.
func usageError(message string) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: message}
}

// sample fetches the status of each router once. With --platform it reads the platform's
// instance list anew each time.
func (o fleetOptions) sample(ctx context.Context) (operator.Fleet, error) {
	client := &operator.Client{HTTP: http.DefaultClient, Timeout: o.Timeout}
	if o.Platform != "" {
		routers, err := client.Discover(ctx, o.Platform)
		if err != nil {
			return operator.Fleet{}, err
		}
		return client.Fetch(ctx, routers)
	}
	routers := make([]operator.Router, len(o.Routers))
	for i, address := range o.Routers {
		routers[i] = operator.Router{Address: address}
	}
	return client.Fetch(ctx, routers)
}

// statusCommand prints the status of the fleet once.
type statusCommand struct {
	env *environment
	fleetOptions
	JSON bool `long:"json" description:"Print JSON in place of tables"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	if err := c.validate(); err != nil {
		return err
	}
	fleet, err := c.sample(c.env.ctx)
	if err != nil {
		return err
	}
	printFleet := operator.PrintStatus
	if c.JSON {
		printFleet = operator.PrintStatusJSON
	}
	if err := printFleet(c.env.stdout, fleet); err != nil {
		return err
	}
	if fleet.Incomplete() {
		return errIncomplete
	}
	return nil
}

// topCommand prints the usage of workspaces at regular intervals.
type topCommand struct {
	env *environment
	fleetOptions
	Interval time.Duration `long:"interval" default:"2s" description:"Time between two samples"`
	Once     bool          `long:"once" description:"Print one table and exit"`
}

// Execute implements flags.Commander.
func (c *topCommand) Execute([]string) error {
	if err := c.validate(); err != nil {
		return err
	}
	if c.Interval <= 0 {
		return usageError("--interval: want a duration above 0s")
	}
	top := operator.Top{Sample: c.sample, Wait: operator.Wait, Interval: c.Interval, Once: c.Once}
	return top.Run(c.env.ctx, c.env.stdout)
}
