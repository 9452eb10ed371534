// Package configtest provides a small valid configuration for tests.
package configtest

import (
	"crypto/sha256"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Names of the objects in the configuration that Valid returns.
const (
	EnginePool  = "model"
	ServicePool = "desk"
	Class       = "chat"
	Zone        = "zone-a"
	Region      = "north"
)

// Valid returns a new configuration with one zone, a pool with one engine, a pool with one
// service, and two workspaces with shares 1 and 10. Their bearer tokens are "token-small" and
// "token-large". Callers may change the configuration.
func Valid() *v1.Configuration {
	return &v1.Configuration{
		Deployment: "test",
		Zones:      []*v1.Zone{{Name: Zone, Region: Region}},
		Pools: []*v1.Pool{
			{Name: EnginePool, Kind: v1.PoolKind_ENGINE, Class: Class, InputWeight: 1, OutputWeight: 4, InitialCost: 500},
			{Name: ServicePool, Kind: v1.PoolKind_SERVICE, Class: Class, InitialCost: 50, Rules: []*v1.MethodRule{
				{Method: "GET", Idempotent: true},
				{Method: "POST", PathPrefix: "/jobs"},
			}},
		},
		Targets: []*v1.Target{
			{Name: "engine-1", Pool: EnginePool, Zone: Zone, Address: "127.0.0.1:7100", Slots: 4, SpeedPercent: 100},
			{Name: "desk-1", Pool: ServicePool, Zone: Zone, Address: "127.0.0.1:7200", Slots: 2, SpeedPercent: 100},
		},
		Workspaces: []*v1.Workspace{workspace("small", 1), workspace("large", 10)},
		Classes:    []*v1.DeadlineClass{{Name: Class, DeadlineMs: 5_000, TotalMs: 60_000}},
	}
}

func workspace(name string, share uint32) *v1.Workspace {
	digest := sha256.Sum256([]byte("token-" + name))
	return &v1.Workspace{
		Name:              name,
		Share:             share,
		TokenSha256:       [][]byte{digest[:]},
		MaxQueuedRequests: 100,
		MaxQueuedBytes:    1 << 20,
	}
}
