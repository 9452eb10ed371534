package main

import (
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	"github.com/chiveseam/chiveseam/internal/standin/platform"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// firstRevision is the revision that the configuration is published with.
const firstRevision = 1

// platformCommand runs the platform, which publishes a configuration and an instance list.
type platformCommand struct {
	Listen        string        `long:"listen" env:"CHIVESEAM_STANDIN_LISTEN" description:"IP:port to listen on" required:"true"`
	Configuration string        `long:"configuration" description:"file with a serialized configuration"`
	Instances     string        `long:"instances" description:"file with an instance list in JSON"`
	AddTargets    bool          `long:"add-targets" description:"add the targets of the configuration to the instance list"`
	ListAge       time.Duration `long:"list-age" default:"0s" description:"time since the instance list was published"`
	Rate          float64       `long:"rate" default:"2000" description:"calls allowed per second over all readers"`
	Lag           time.Duration `long:"lag" default:"0s" description:"time from publication to visibility"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	server := platform.New(c.Rate)
	if err := c.publish(server); err != nil {
		return err
	}
	// The lag is set after the first publication, so that only later ones are delayed.
	server.SetFaults(platform.Faults{LagMs: c.Lag.Milliseconds()})
	return serveUntilSignal("platform", c.Listen, server.Handler())
}

// publish publishes the configuration and the instance list of the flags.
func (c *platformCommand) publish(server *platform.Server) error {
	list, err := c.readInstances()
	if err != nil {
		return err
	}
	if c.Configuration != "" {
		payload, err := os.ReadFile(c.Configuration)
		if err != nil {
			return fmt.Errorf("read configuration: %w", err)
		}
		server.PublishConfiguration(firstRevision, payload)
	}
	if c.AddTargets {
		configuration, err := deployment.ReadConfiguration(c.Configuration)
		if err != nil {
			return err
		}
		list.Instances = append(list.Instances, deployment.TargetInstances(configuration)...)
	}
	list.PublishedUnixMs = time.Now().Add(-c.ListAge).UnixMilli()
	server.PublishInstances(list)
	return nil
}

// readInstances reads the instance list. It returns an empty one if no file is named.
func (c *platformCommand) readInstances() (*v1.InstanceList, error) {
	list := &v1.InstanceList{}
	if c.Instances == "" {
		return list, nil
	}
	body, err := os.ReadFile(c.Instances)
	if err != nil {
		return nil, fmt.Errorf("read instances: %w", err)
	}
	if err := protojson.Unmarshal(body, list); err != nil {
		return nil, fmt.Errorf("decode instances %s: %w", c.Instances, err)
	}
	return list, nil
}
