package rollout_test

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// TestPayloadAtFullSize measures the size of a configuration with 3,500 workspaces, 27 models
// and 660 engines, and the traffic that fetches of it cost a router at 380 changes a day. It
// fails if the payload exceeds MaxPayloadBytes.
func TestPayloadAtFullSize(t *testing.T) {
	const changesPerSecond = 380.0 / 86_400
	c := &v1.Configuration{Deployment: "full-size"}
	for i := range 3500 {
		digest := sha256.Sum256(fmt.Append(nil, "token", i))
		c.Workspaces = append(c.Workspaces, &v1.Workspace{
			Name: fmt.Sprintf("workspace-%d", i), Share: 10, TokenSha256: [][]byte{digest[:]},
			MaxQueuedRequests: 100, MaxQueuedBytes: 1 << 22,
		})
	}
	for i := range 27 {
		c.Pools = append(c.Pools, &v1.Pool{Name: fmt.Sprintf("model-%d", i), Kind: v1.PoolKind_ENGINE, Class: "chat"})
	}
	for i := range 660 {
		c.Targets = append(c.Targets, &v1.Target{
			Name: fmt.Sprintf("engine-%d", i), Pool: fmt.Sprintf("model-%d", i%27), Zone: fmt.Sprintf("zone-%d", i%10),
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/256, i%256), Slots: 64,
		})
	}
	size := proto.Size(c)
	t.Logf("payload %d B; fetched once a change: %.0f B/s received, and as much sent, a router",
		size, float64(size)*changesPerSecond)
	is.New(t).True(size < config.MaxPayloadBytes)
}
