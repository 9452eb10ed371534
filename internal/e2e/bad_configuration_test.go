package e2e

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// unknownFieldNumber is used by no message of the schema.
const unknownFieldNumber = 999

// oversizedPayloadBytes is over the megabyte that the platform's values may have.
const oversizedPayloadBytes = 1<<20 + 1

func TestInvalidConfigurationIsRejectedByAllRouters(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	valid := proto.CloneOf(c.configuration)
	payload, err := proto.Marshal(valid)
	if err != nil {
		t.Fatal(err)
	}
	noPool := proto.CloneOf(valid)
	noPool.Targets[0].Pool = "none"
	noShare := proto.CloneOf(valid)
	noShare.Workspaces[1].Share = 0
	unknown := protowire.AppendTag(bytes.Clone(payload), unknownFieldNumber, protowire.VarintType)
	unknown = protowire.AppendVarint(unknown, 1)
	tests := []struct {
		name, reason string
		payload      []byte
	}{
		{"empty", "deployment", nil},
		{"garbage", "decode", bytes.Repeat([]byte{0xff}, 100)},
		{"truncated", "", payload[:len(payload)-3]},
		{"unknown pool", "targets[0].pool", marshal(t, noPool)},
		{"no share", "workspaces[1].share", marshal(t, noShare)},
		{"unknown field", "field number 999", unknown},
		{"over a megabyte", "larger", bytes.Repeat([]byte{0}, oversizedPayloadBytes)},
	}
	for _, test := range tests {
		revision := c.platform.PublishConfiguration(0, test.payload)
		expectRejected(t, c, test.name, revision, test.reason)
	}
	expectServing(t, c)
	valid.Workspaces[0].Share++
	c.awaitRevision(c.publish(valid)) // a good one after them is taken
}

func marshal(t *testing.T, c *v1.Configuration) []byte {
	t.Helper()
	payload, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// expectRejected waits until all routers report the rejected revision with the
// same reason, and fails the test if one has it in force.
func expectRejected(t *testing.T, c *cluster, what string, revision uint64, reason string) {
	t.Helper()
	is := is.New(t)
	reasons := map[string]bool{}
	for _, r := range c.routers {
		var status *v1.RouterStatus
		await(t, r.name+" rejects: "+what, func() bool {
			status = r.status()
			return status.GetRejectedRevision() == revision
		}, func() any { return status })
		is.Equal(status.ConfigRevision, uint64(1))
		if !strings.Contains(status.RejectedReason, reason) {
			t.Errorf("%s: %s gives the reason %q; want %q in it", what, r.name, status.RejectedReason, reason)
		}
		reasons[status.RejectedReason] = true
	}
	is.Equal(len(reasons), 1) // all routers judge alike
}
