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

// unknownFieldNumber is a field number that no message of the schema uses.
const unknownFieldNumber = 999

// oversizedPayloadBytes is larger than the limit of 1 MiB on values of the platform.
const oversizedPayloadBytes = 1<<20 + 1

// Guards against an invalid configuration that is put in force, ends a router, or
// is rejected by some routers only or for different reasons. A valid one that
// follows must be put in force.
func TestInvalidConfigurationIsRejectedByAllRouters(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	valid := proto.CloneOf(c.configuration)
	payload, err := proto.Marshal(valid)
	if err != nil {
		t.Fatal(err)
	}
	unknownPool := proto.CloneOf(valid)
	unknownPool.Targets[0].Pool = "none"
	zeroShare := proto.CloneOf(valid)
	zeroShare.Workspaces[1].Share = 0
	unknownField := protowire.AppendTag(bytes.Clone(payload), unknownFieldNumber, protowire.VarintType)
	unknownField = protowire.AppendVarint(unknownField, 1)
	tests := []struct {
		name, reason string
		payload      []byte
	}{
		{"empty", "deployment", nil},
		{"garbage", "decode", bytes.Repeat([]byte{0xff}, 100)},
		{"truncated", "", payload[:len(payload)-3]},
		{"unknown pool", "targets[0].pool", marshal(t, unknownPool)},
		{"no share", "workspaces[1].share", marshal(t, zeroShare)},
		{"unknown field", "field number 999", unknownField},
		{"over a megabyte", "larger", bytes.Repeat([]byte{0}, oversizedPayloadBytes)},
	}
	for _, test := range tests {
		revision := c.platform.PublishConfiguration(0, test.payload)
		expectRejected(t, c, test.name, revision, test.reason)
	}
	expectServing(t, c)
	valid.Workspaces[0].Share++
	c.awaitRevision(c.publish(valid)) // a valid configuration after the invalid ones
}

func marshal(t *testing.T, c *v1.Configuration) []byte {
	t.Helper()
	payload, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// expectRejected waits until all routers report the revision as rejected. It fails
// the test unless revision 1 is still in force at all of them and they give the
// same reason, which contains the text of reason.
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
	is.Equal(len(reasons), 1) // all routers give the same reason
}
