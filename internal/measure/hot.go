package measure

import (
	"fmt"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	// hotTargets, hotTargetSlots and hotWorkspaces are the hot model of the
	// planned size in one region, with its backlogged workspaces.
	hotTargets     = 118
	hotTargetSlots = 100
	hotSlots       = hotTargets * hotTargetSlots
	hotWorkspaces  = 350
	// hotLargeWorkspaces of the workspaces are backlogged all the time.
	hotLargeWorkspaces = 300
	hotZones           = 5
)

// hotShares and hotSpeeds are those of the workspaces and targets in turn.
var (
	hotShares = []uint32{4, 2, 1, 1}
	hotSpeeds = []float64{0.5, 1, 1, 2}
)

// hotDeployment is the pool of a hot model at the planned size.
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
