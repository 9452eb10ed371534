package measure

import (
	"fmt"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	// hotTargets is the number of targets of a hot model at the planned size in one
	// region, hotTargetSlots that of the slots of each, and hotWorkspaces that of the
	// workspaces.
	hotTargets     = 118
	hotTargetSlots = 100
	hotSlots       = hotTargets * hotTargetSlots
	hotWorkspaces  = 350
	// hotLargeWorkspaces is the number of workspaces that are always backlogged.
	hotLargeWorkspaces = 300
	hotZones           = 5
)

var (
	// hotShares holds the shares that are given to the workspaces in turn, and hotSpeeds the
	// speeds that are given to the targets in turn.
	hotShares = []uint32{4, 2, 1, 1}
	hotSpeeds = []float64{0.5, 1, 1, 2}
)

// hotDeployment returns the pool of a hot model at the planned size in one region.
func hotDeployment() *Deployment {
	d := &Deployment{Name: "hot-model", InitialCost: meanCost, largeWorkspaces: hotLargeWorkspaces}
	for i := range hotZones {
		d.Zones = append(d.Zones, fmt.Sprintf("zone-%d", i))
	}
	for i := range hotTargets {
		d.Targets = append(d.Targets, pool.Target{
			ID:    config.IDOf(fmt.Sprintf("engine-%d", i)),
			Zone:  d.Zones[i%hotZones],
			Slots: hotTargetSlots,
			Speed: hotSpeeds[i%len(hotSpeeds)],
		})
	}
	for i := range hotWorkspaces {
		d.names = append(d.names, fmt.Sprintf("workspace-%d", i))
		d.Workspaces = append(d.Workspaces, pool.Workspace{ID: config.IDOf(d.names[i]), Share: hotShares[i%len(hotShares)]})
	}
	return d
}
