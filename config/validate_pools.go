package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// zones checks the availability zones. Each needs a data centre as soon as one of them has one.
func (v *validator) zones() {
	v.notEmpty("zones", len(v.config.Zones))
	names := v.uniqueNames()
	dataCentreRequired := len(v.dataCentres) > 1 || !v.dataCentres[""]
	for i, zone := range v.config.Zones {
		field := fmt.Sprintf("zones[%d]", i)
		names.check(field+".name", zone.Name)
		v.name(field+".region", zone.Region)
		if dataCentreRequired {
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
			v.addError(field+".kind", pool.Kind, "ENGINE or SERVICE")
		}
	}
}

// shards checks the number of shards of a pool. Each shard has a scheduler in each region and
// starts with at least one slot there, so a pool needs as many slots as shards in each region
// where it has targets.
func (v *validator) shards(field string, pool *v1.Pool, ids *uniqueIDs) {
	if pool.Shards <= 1 {
		return
	}
	if pool.Shards > MaxShards {
		v.addError(field, pool.Shards, fmt.Sprintf("0 to %d", MaxShards))
		return
	}
	if slots, region := v.minRegionSlots(pool.Name); uint64(pool.Shards) > slots {
		v.addError(field, pool.Shards, fmt.Sprintf("at most the %d slots of the pool in region %q", slots, region))
	}
	for _, shard := range ShardsOf(pool) {
		ids.checkID(field, shard.String())
	}
}

// minRegionSlots returns the smallest number of slots that the pool has in a region, and that
// region. Regions without targets of the pool do not count.
func (v *validator) minRegionSlots(pool string) (slots uint64, region string) {
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

// enginePool checks the fields that differ between engines and services for a pool of engines.
func (v *validator) enginePool(field string, pool *v1.Pool) {
	inRange(v, field+".input_weight", pool.InputWeight, 0, MaxTokenWeight)
	inRange(v, field+".output_weight", pool.OutputWeight, 1, MaxTokenWeight)
	if len(pool.Rules) > 0 {
		v.addError(field+".rules", len(pool.Rules), "no rules in a pool of engines")
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
			v.addError(path, adapter, "an adapter listed once")
		}
		seen[adapter] = true
	}
}

// servicePool checks the fields that differ between engines and services for a pool of
// services.
func (v *validator) servicePool(field string, pool *v1.Pool) {
	inRange(v, field+".input_weight", pool.InputWeight, 0, 0)
	inRange(v, field+".output_weight", pool.OutputWeight, 0, 0)
	if pool.Model != nil {
		v.addError(field+".model", pool.Model.Version, "no model in a pool of services")
	}
	for i, rule := range pool.Rules {
		v.rule(fmt.Sprintf("%s.rules[%d]", field, i), rule, pool.Rules[:i])
	}
}

// rule checks one rule of a service. The first rule that matches a call applies, so a rule is
// an error if one of the earlier rules matches all of its calls.
func (v *validator) rule(field string, rule *v1.MethodRule, earlier []*v1.MethodRule) {
	v.method(field+".method", rule.Method)
	if rule.PathPrefix != "" && !strings.HasPrefix(rule.PathPrefix, "/") {
		v.addError(field+".path_prefix", rule.PathPrefix, "empty or a path that begins with '/'")
	}
	if rule.Class != "" {
		v.class(field+".class", rule.Class)
	}
	for i, other := range earlier {
		if covers(other, rule) {
			v.addError(field, rule.Method+" "+rule.PathPrefix, fmt.Sprintf("a rule that matches some calls that rules[%d] does not match", i))
			return
		}
	}
}

// covers reports whether earlier matches every call that rule matches.
func covers(earlier, rule *v1.MethodRule) bool {
	if earlier.Method != "" && earlier.Method != rule.Method {
		return false
	}
	return strings.HasPrefix(rule.PathPrefix, earlier.PathPrefix)
}

func (v *validator) targets() {
	v.notEmpty("targets", len(v.config.Targets))
	ids := v.uniqueIDs()
	targetByAddress := map[string]string{}
	for i, target := range v.config.Targets {
		field := fmt.Sprintf("targets[%d]", i)
		ids.check(field+".name", target.Name)
		v.pool(field+".pool", target.Pool)
		if v.zonesByName[target.Zone] == nil {
			v.addError(field+".zone", target.Zone, "the name of a zone")
		}
		v.targetAddress(field+".address", target, targetByAddress)
		inRange(v, field+".slots", target.Slots, MinSlots, MaxSlots)
		inRange(v, field+".speed_percent", target.SpeedPercent, 0, MaxSpeedPercent)
		if target.Role != "" {
			v.targetRole(field+".role", target)
		}
	}
}

// targetAddress checks the address of a target. Two targets of one pool must not have the same
// address, since its slots would be counted twice. targetByAddress maps pool and address to the
// name of a target.
func (v *validator) targetAddress(field string, target *v1.Target, targetByAddress map[string]string) {
	v.address(field, target.Address)
	key := target.Pool + " " + target.Address
	if other, taken := targetByAddress[key]; taken {
		v.addError(field, target.Address, fmt.Sprintf("an address other than that of target %q of the same pool", other))
		return
	}
	targetByAddress[key] = target.Name
}

// targetRole checks the role of a target, which only engines may have.
func (v *validator) targetRole(field string, target *v1.Target) {
	v.name(field, target.Role)
	if v.poolsByName[target.Pool].GetKind() == v1.PoolKind_SERVICE {
		v.addError(field, target.Role, "no role for a service")
	}
}
