package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func (v *validator) zones() {
	v.notEmpty("zones", len(v.config.Zones))
	names := v.uniqueNames()
	split := len(v.dataCentres) > 1 || !v.dataCentres[""]
	for i, zone := range v.config.Zones {
		field := fmt.Sprintf("zones[%d]", i)
		names.check(field+".name", zone.Name)
		v.name(field+".region", zone.Region)
		if split {
			v.name(field+".data_centre", zone.DataCentre)
		}
	}
}

func (v *validator) pools() {
	v.notEmpty("pools", len(v.config.Pools))
	ids := v.uniqueIDs()
	for i, pool := range v.config.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		ids.check(field+".name", pool.Name)
		v.shards(field+".shards", pool, ids)
		v.class(field+".class", pool.Class)
		inRange(v, field+".initial_cost", pool.InitialCost, MinInitialCost, MaxInitialCost)
		switch pool.Kind {
		case v1.PoolKind_ENGINE:
			v.enginePool(field, pool)
		case v1.PoolKind_SERVICE:
			v.servicePool(field, pool)
		default:
			v.fail(field+".kind", pool.Kind, "ENGINE or SERVICE")
		}
	}
}

// shards checks the number of shards of a pool. Each shard needs a slot to begin
// with in each region that has targets.
func (v *validator) shards(field string, pool *v1.Pool, ids *uniqueIDs) {
	if pool.Shards <= 1 {
		return
	}
	if pool.Shards > MaxShards {
		v.fail(field, pool.Shards, fmt.Sprintf("0 to %d", MaxShards))
		return
	}
	if slots, region := v.leastSlots(pool.Name); uint64(pool.Shards) > slots {
		v.fail(field, pool.Shards, fmt.Sprintf("at most the %d slots of the pool in region %q", slots, region))
	}
	for _, shard := range ShardsOf(pool) {
		ids.checkID(field, shard.String())
	}
}

// leastSlots returns the least number of slots that the pool has in one of the
// regions in which it has targets, and that region.
func (v *validator) leastSlots(pool string) (slots uint64, region string) {
	sums := map[string]uint64{}
	for _, target := range v.config.Targets {
		if target.GetPool() == pool {
			sums[v.zonesByName[target.GetZone()].GetRegion()] += uint64(target.GetSlots())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		if region == "" || sums[name] < slots {
			slots, region = sums[name], name
		}
	}
	return slots, region
}

func (v *validator) enginePool(field string, pool *v1.Pool) {
	inRange(v, field+".input_weight", pool.InputWeight, 0, MaxWeight)
	inRange(v, field+".output_weight", pool.OutputWeight, 1, MaxWeight)
	if len(pool.Rules) > 0 {
		v.fail(field+".rules", len(pool.Rules), "no rules in a pool of engines")
	}
	if pool.Model != nil {
		v.model(field+".model", pool.Model)
	}
}

func (v *validator) model(field string, model *v1.ModelState) {
	v.label(field+".version", model.Version)
	inRange(v, field+".weight_bytes", model.WeightBytes, 0, MaxModelBytes)
	seen := map[string]bool{}
	for i, adapter := range model.Adapters {
		path := fmt.Sprintf("%s.adapters[%d]", field, i)
		v.label(path, adapter)
		if seen[adapter] {
			v.fail(path, adapter, "an adapter listed once")
		}
		seen[adapter] = true
	}
}

func (v *validator) servicePool(field string, pool *v1.Pool) {
	inRange(v, field+".input_weight", pool.InputWeight, 0, 0)
	inRange(v, field+".output_weight", pool.OutputWeight, 0, 0)
	if pool.Model != nil {
		v.fail(field+".model", pool.Model.Version, "no model in a pool of services")
	}
	for i, rule := range pool.Rules {
		v.rule(fmt.Sprintf("%s.rules[%d]", field, i), rule, pool.Rules[:i])
	}
}

// rule checks one rule; earlier holds the rules that go before it.
func (v *validator) rule(field string, rule *v1.MethodRule, earlier []*v1.MethodRule) {
	v.method(field+".method", rule.Method)
	if rule.PathPrefix != "" && !strings.HasPrefix(rule.PathPrefix, "/") {
		v.fail(field+".path_prefix", rule.PathPrefix, "empty or a path that begins with '/'")
	}
	if rule.Class != "" {
		v.class(field+".class", rule.Class)
	}
	for i, other := range earlier {
		if covers(other, rule) {
			v.fail(field, rule.Method+" "+rule.PathPrefix, fmt.Sprintf("a rule that matches calls which rules[%d] leaves over", i))
			return
		}
	}
}

// covers reports whether each call that rule matches is matched by earlier.
func covers(earlier, rule *v1.MethodRule) bool {
	if earlier.Method != "" && earlier.Method != rule.Method {
		return false
	}
	return strings.HasPrefix(rule.PathPrefix, earlier.PathPrefix)
}

func (v *validator) targets() {
	v.notEmpty("targets", len(v.config.Targets))
	ids := v.uniqueIDs()
	users := map[string]string{}
	for i, target := range v.config.Targets {
		field := fmt.Sprintf("targets[%d]", i)
		ids.check(field+".name", target.Name)
		v.pool(field+".pool", target.Pool)
		if v.zonesByName[target.Zone] == nil {
			v.fail(field+".zone", target.Zone, "the name of a zone")
		}
		v.targetAddress(field+".address", target, users)
		inRange(v, field+".slots", target.Slots, MinSlots, MaxSlots)
		inRange(v, field+".speed_percent", target.SpeedPercent, 0, MaxSpeedPercent)
		if target.Role != "" {
			v.targetRole(field+".role", target)
		}
	}
}

// targetAddress also refuses two targets of one pool at one address, whose
// slots would be counted twice. users maps pool and address to a target.
func (v *validator) targetAddress(field string, target *v1.Target, users map[string]string) {
	v.address(field, target.Address)
	key := target.Pool + " " + target.Address
	if other, taken := users[key]; taken {
		v.fail(field, target.Address, fmt.Sprintf("an address that %q of the same pool does not have", other))
		return
	}
	users[key] = target.Name
}

func (v *validator) targetRole(field string, target *v1.Target) {
	v.name(field, target.Role)
	if v.poolsByName[target.Pool].GetKind() == v1.PoolKind_SERVICE {
		v.fail(field, target.Role, "no role for a service")
	}
}
