package config_test

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Sizes of the deployment that the project is designed for.
const (
	plannedWorkspaces = 3500
	plannedEngines    = 660
	plannedModels     = 27
	plannedZones      = 10
)

// plannedConfiguration returns a configuration of the planned size.
func plannedConfiguration() *v1.Configuration {
	c := configtest.Valid()
	engine := c.Pools[0]
	c.Zones, c.Pools, c.Targets, c.Workspaces = nil, nil, nil, nil
	for i := range plannedZones {
		c.Zones = append(c.Zones, &v1.Zone{Name: fmt.Sprintf("zone-%d", i), Region: fmt.Sprintf("region-%d", i%2)})
	}
	for i := range plannedModels {
		pool := proto.CloneOf(engine)
		pool.Name = fmt.Sprintf("model-%d", i)
		c.Pools = append(c.Pools, pool)
	}
	for i := range plannedEngines {
		c.Targets = append(c.Targets, &v1.Target{
			Name:    fmt.Sprintf("engine-%d", i),
			Pool:    fmt.Sprintf("model-%d", i%plannedModels),
			Zone:    fmt.Sprintf("zone-%d", i%plannedZones),
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, 1+i%250),
			Slots:   64, SpeedPercent: 100, Role: "mixed",
		})
	}
	for i := range plannedWorkspaces {
		name := fmt.Sprintf("workspace-%d", i)
		digest := sha256.Sum256([]byte(name))
		c.Workspaces = append(c.Workspaces, &v1.Workspace{
			Name: name, Share: 1, TokenSha256: [][]byte{digest[:]}, MaxQueuedRequests: 100, MaxQueuedBytes: 1 << 20,
		})
	}
	return c
}

// TestPlannedSizeIsAccepted checks that a configuration of the planned size is valid and not
// larger than MaxPayloadBytes.
func TestPlannedSizeIsAccepted(t *testing.T) {
	is := is.New(t)
	payload, err := proto.Marshal(plannedConfiguration())
	is.NoErr(err)
	t.Logf("%d bytes", len(payload))
	_, err = config.Accept(1, payload)
	is.NoErr(err)
}

// BenchmarkAcceptPlannedSize measures Accept for a configuration of the planned size.
func BenchmarkAcceptPlannedSize(b *testing.B) {
	payload, err := proto.Marshal(plannedConfiguration())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Accept(1, payload); err != nil {
			b.Fatal(err)
		}
	}
}
