package main

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// filePermissions are the permissions of files that the program writes.
const filePermissions = 0o644

// routersCommand plans routers on loopback for a configuration.
type routersCommand struct {
	Configuration string `long:"configuration" description:"file with a serialized configuration" required:"true"`
	Count         int    `long:"count" default:"6" description:"number of routers"`
	FirstPort     int    `long:"first-port" default:"7500" description:"port of the first router's entry"`
	Output        string `long:"output" short:"o" description:"file for the instance list in JSON" required:"true"`
}

// Execute implements flags.Commander. It writes the routers' instance list and prints a line
// "NAME INCARNATION ZONE REGION ENTRY PEER ADMIN" for each router.
func (c *routersCommand) Execute([]string) error {
	configuration, err := deployment.ReadConfiguration(c.Configuration)
	if err != nil {
		return err
	}
	routers, err := deployment.PlanRouters(configuration, c.Count, c.FirstPort)
	if err != nil {
		return err
	}
	list := &v1.InstanceList{}
	for _, r := range routers {
		list.Instances = append(list.Instances, r.Instance)
		fmt.Println(r.Instance.Name, r.Instance.Incarnation, r.Instance.Zone, r.Region,
			r.Instance.EntryAddress, r.Instance.PeerAddress, r.Instance.AdminAddress)
	}
	body, err := protojson.Marshal(list)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Output, body, filePermissions)
}
