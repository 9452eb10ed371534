package config_test

import (
	"errors"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func TestValidateAcceptsValid(t *testing.T) {
	is := is.New(t)
	is.Equal(config.Validate(configtest.Valid()), nil)
}

// TestEmptyPayloadIsRejected guards against a platform that returns no bytes, which decode as
// an empty configuration without an error.
func TestEmptyPayloadIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := config.Accept(1, nil)
	var errs config.FieldErrors
	is.True(errors.As(err, &errs))
}

// TestUnknownFieldIsRejected checks that fields that the schema does not have are errors, at
// the top level and in nested messages.
func TestUnknownFieldIsRejected(t *testing.T) {
	is := is.New(t)
	const number = 999
	unknown := protowire.AppendTag(nil, number, protowire.VarintType)
	unknown = protowire.AppendVarint(unknown, 1)
	c := configtest.Valid()
	c.Pools[1].Rules[0].ProtoReflect().SetUnknown(unknown)
	c.ProtoReflect().SetUnknown(unknown)
	payload, err := proto.Marshal(c)
	is.NoErr(err)
	_, err = config.Accept(1, payload)
	var errs config.FieldErrors
	is.True(errors.As(err, &errs))
	fields := map[string]string{}
	for _, e := range errs {
		fields[e.Field] = e.Value
	}
	is.Equal(fields, map[string]string{"configuration": "field number 999", "pools[1].rules[0]": "field number 999"})
}

// TestValidateNamesTheField invalidates one field at a time and checks that the only error
// names this field.
func TestValidateNamesTheField(t *testing.T) {
	tests := []struct {
		field      string
		invalidate func(c *v1.Configuration)
	}{
		{"deployment", func(c *v1.Configuration) { c.Deployment = "Siam Broadsheet" }},
		{"zones[0].region", func(c *v1.Configuration) { c.Zones[0].Region = "" }},
		{"zones[1].name", func(c *v1.Configuration) { c.Zones = append(c.Zones, c.Zones[0]) }},
		{"zones[0].data_centre", func(c *v1.Configuration) {
			c.Zones = append(c.Zones, &v1.Zone{Name: "zone-b", Region: "north", DataCentre: "new"})
		}},
		{"pools[0].class", func(c *v1.Configuration) { c.Pools[0].Class = "none" }},
		{"pools[0].kind", func(c *v1.Configuration) { c.Pools[0].Kind = 0 }},
		{"pools[0].output_weight", func(c *v1.Configuration) { c.Pools[0].OutputWeight = 0 }},
		{"pools[0].rules", func(c *v1.Configuration) { c.Pools[0].Rules = c.Pools[1].Rules }},
		{"pools[0].model.adapters[1]", func(c *v1.Configuration) {
			c.Pools[0].Model = &v1.ModelState{Version: "1", Adapters: []string{"a", "a"}}
		}},
		{"pools[1].model", func(c *v1.Configuration) { c.Pools[1].Model = &v1.ModelState{Version: "1"} }},
		{"pools[0].shards", func(c *v1.Configuration) { c.Pools[0].Shards = config.MaxShards + 1 }},
		{"pools[1].shards", func(c *v1.Configuration) { c.Pools[1].Shards = 3 }}, // the pool has 2 slots
		{"pools[1].initial_cost", func(c *v1.Configuration) { c.Pools[1].InitialCost = 0 }},
		{"pools[1].input_weight", func(c *v1.Configuration) { c.Pools[1].InputWeight = 1 }},
		{"pools[1].rules[0].method", func(c *v1.Configuration) { c.Pools[1].Rules[0].Method = "FETCH" }},
		{"pools[1].rules[1].path_prefix", func(c *v1.Configuration) { c.Pools[1].Rules[1].PathPrefix = "jobs" }},
		{"pools[1].rules[1].class", func(c *v1.Configuration) { c.Pools[1].Rules[1].Class = "none" }},
		{"pools[1].rules[1]", func(c *v1.Configuration) { c.Pools[1].Rules[0].Method = "" }},
		{"targets[0].zone", func(c *v1.Configuration) { c.Targets[0].Zone = "zone-x" }},
		{"targets[1].pool", func(c *v1.Configuration) { c.Targets[1].Pool = "none" }},
		{"targets[0].address", func(c *v1.Configuration) { c.Targets[0].Address = "localhost:7100" }},
		{"targets[0].address", func(c *v1.Configuration) { c.Targets[0].Address = "127.0.0.1:0" }},
		{"targets[0].address", func(c *v1.Configuration) { c.Targets[0].Address = "0.0.0.0:7100" }},
		{"targets[2].address", func(c *v1.Configuration) {
			duplicate := proto.CloneOf(c.Targets[0])
			duplicate.Name = "engine-2"
			c.Targets = append(c.Targets, duplicate)
		}},
		{"targets[0].slots", func(c *v1.Configuration) { c.Targets[0].Slots = config.MaxSlots + 1 }},
		{"targets[1].role", func(c *v1.Configuration) { c.Targets[1].Role = "mixed" }},
		{"workspaces[0].share", func(c *v1.Configuration) { c.Workspaces[0].Share = 0 }},
		{"workspaces[1].share", func(c *v1.Configuration) { c.Workspaces[1].Share = config.MaxShare + 1 }},
		{"workspaces[0].token_sha256", func(c *v1.Configuration) { c.Workspaces[0].TokenSha256 = nil }},
		{"workspaces[0].token_sha256[0]", func(c *v1.Configuration) { c.Workspaces[0].TokenSha256[0] = []byte("token") }},
		{"workspaces[1].token_sha256[0]", func(c *v1.Configuration) {
			c.Workspaces[1].TokenSha256 = c.Workspaces[0].TokenSha256
		}},
		{"workspaces[0].pools[1]", func(c *v1.Configuration) { c.Workspaces[0].Pools = []string{"desk", "none"} }},
		{"workspaces[0].pools", func(c *v1.Configuration) {
			c.Targets = c.Targets[:1]
			c.Workspaces[0].Pools = []string{"desk"}
		}},
		{"workspaces[0].data_centre", func(c *v1.Configuration) { c.Workspaces[0].DataCentre = "old" }},
		{"workspaces[0].max_queued_requests", func(c *v1.Configuration) { c.Workspaces[0].MaxQueuedRequests = 0 }},
		{"classes[0].total_ms", func(c *v1.Configuration) { c.Classes[0].TotalMs = 4_999 }},
		{"limits.max_bodies_bytes", func(c *v1.Configuration) {
			c.Limits = &v1.Limits{MaxBodyBytes: 1 << 20, MaxBodiesBytes: 1 << 19}
		}},
		{"limits.retry_budget_percent", func(c *v1.Configuration) { c.Limits = &v1.Limits{RetryBudgetPercent: 101} }},
		{"weight_store.bytes_per_second", func(c *v1.Configuration) { c.WeightStore = &v1.WeightStore{MaxConcurrentLoads: 1} }},
	}
	for _, test := range tests {
		t.Run(test.field, func(t *testing.T) {
			is := is.New(t)
			c := configtest.Valid()
			test.invalidate(c)
			errs := config.Validate(c)
			is.Equal(len(errs), 1)
			is.Equal(errs[0].Field, test.field)
			is.True(errs[0].Allowed != "")
		})
	}
}

// TestNamesThatShareAnIDAreRejected checks that two workspaces with the same ID are rejected,
// since routers could not tell them apart in their messages.
func TestNamesThatShareAnIDAreRejected(t *testing.T) {
	is := is.New(t)
	first, second := collidingNames()
	is.True(first != second)
	c := configtest.Valid()
	c.Workspaces[0].Name, c.Workspaces[1].Name = first, second
	errs := config.Validate(c)
	is.Equal(len(errs), 1)
	is.Equal(errs[0].Field, "workspaces[1].name")
}

// collidingNames searches for two names with the same ID.
func collidingNames() (string, string) {
	seen := map[config.ID]string{}
	for i := 0; ; i++ {
		name := "w" + strconv.Itoa(i)
		if other, ok := seen[config.IDOf(name)]; ok {
			return other, name
		}
		seen[config.IDOf(name)] = name
	}
}

// TestEachShardHasItsOwnID checks that each shard is found by its ID, and that only the shard
// of an undivided pool has the ID of the pool.
func TestEachShardHasItsOwnID(t *testing.T) {
	is := is.New(t)
	c := configtest.Valid()
	c.Pools[0].Shards = 3
	payload, err := proto.Marshal(c)
	is.NoErr(err)
	accepted, err := config.Accept(1, payload)
	is.NoErr(err)
	ids := map[config.ID]bool{}
	for i := range 3 {
		want := config.Shard{Pool: configtest.EnginePool, Index: i, Count: 3}
		got, ok := accepted.ShardByID(want.ID())
		is.True(ok)
		is.Equal(got, want)
		ids[want.ID()] = true
	}
	is.Equal(len(ids), 3)
	_, ok := accepted.ShardByID(config.IDOf(configtest.EnginePool))
	is.True(!ok) // only an undivided pool has the ID of its name
	undivided, ok := accepted.ShardByID(config.IDOf(configtest.ServicePool))
	is.True(ok)
	is.Equal(undivided, config.Shard{Pool: configtest.ServicePool, Count: 1})
}

// TestEachShardNeedsASlotInEachRegion checks that a pool with fewer slots than shards in one of
// its regions is rejected.
func TestEachShardNeedsASlotInEachRegion(t *testing.T) {
	is := is.New(t)
	c := configtest.Valid()
	c.Pools[0].Shards = 4
	is.Equal(config.Validate(c), nil)
	c.Zones = append(c.Zones, &v1.Zone{Name: "zone-s", Region: "south"})
	other := proto.CloneOf(c.Targets[0])
	other.Name, other.Zone, other.Address, other.Slots = "engine-2", "zone-s", "127.0.0.1:7101", 3
	c.Targets = append(c.Targets, other)
	errs := config.Validate(c)
	is.Equal(len(errs), 1)
	is.Equal(errs[0].Allowed, `at most the 3 slots of the pool in region "south"`)
}

// TestWeightLoadsRequireStoreLimits checks that a pool that loads weights requires both limits
// of the weight store.
func TestWeightLoadsRequireStoreLimits(t *testing.T) {
	is := is.New(t)
	c := configtest.Valid()
	c.Pools[0].Model = &v1.ModelState{Version: "1", WeightBytes: 1 << 30}
	is.Equal(len(config.Validate(c)), 2)
	c.WeightStore = &v1.WeightStore{MaxConcurrentLoads: 2, BytesPerSecond: 1 << 30}
	is.Equal(config.Validate(c), nil)
}

// TestWorkspaceNeedsATargetInItsDataCentre checks that a workspace restricted to a data centre
// is rejected until a pool has a target there.
func TestWorkspaceNeedsATargetInItsDataCentre(t *testing.T) {
	is := is.New(t)
	c := configtest.Valid()
	c.Zones[0].DataCentre = "old"
	c.Zones = append(c.Zones, &v1.Zone{Name: "zone-b", Region: "north", DataCentre: "new"})
	c.Workspaces[0].DataCentre = "new"
	errs := config.Validate(c)
	is.Equal(len(errs), 1)
	is.Equal(errs[0].Field, "workspaces[0].pools")
	c.Targets[1].Zone = "zone-b"
	is.Equal(config.Validate(c), nil)
}
