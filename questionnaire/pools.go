package questionnaire

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Names of the fields of pools and of their nested mappings.
var (
	engineFields      = []string{"name", "deadline", "cost", "model", "shards", "targets"}
	serviceFields     = []string{"name", "deadline", "cost", "calls", "shards", "targets"}
	engineCost        = []string{"input_token", "output_token", "first_estimate"}
	serviceCost       = []string{"first_estimate"}
	modelFields       = []string{"version", "adapters", "weights"}
	callFields        = []string{"call", "repeatable", "deadline"}
	targetGroupFields = []string{"zone", "count", "first_address", "next_address", "slots", "speed", "resumes", "checks_fencing", "role"}
)

const (
	// maxGroupCount is the largest number of targets in one entry of a pool's targets.
	maxGroupCount = 10_000
	// referenceSpeed is the speed in percent of targets for which none is given.
	referenceSpeed = 100

	// Values of next_address: the part of the address that increases by 1 from one target to the
	// next.
	nextIP   = "ip"
	nextPort = "port"
)

// anyMethod as the method of a call stands for all HTTP methods.
const anyMethod = "ANY"

// addEnginePool adds the pool of one model and its engines.
func (b *builder) addEnginePool(s section) {
	cost, _ := s.section("cost", engineCost)
	pool := &v1.Pool{
		Name:         s.text("name"),
		Kind:         v1.PoolKind_ENGINE,
		Class:        s.text("deadline"),
		InputWeight:  cost.number("input_token"),
		OutputWeight: cost.number("output_token"),
		InitialCost:  cost.number("first_estimate"),
		Shards:       s.number("shards"),
	}
	field := b.addPool(s, pool)
	if model, ok := s.section("model", modelFields); ok {
		b.origins.record(field+".model", model, fieldMap{"weight_bytes": {key: "weights", unit: "bytes"}})
		pool.Model = &v1.ModelState{
			Version:     model.text("version"),
			Adapters:    model.texts("adapters"),
			WeightBytes: model.size("weights"),
		}
	}
	b.addTargets(s, pool)
}

// addServicePool adds the pool of one service and its targets.
func (b *builder) addServicePool(s section) {
	cost, _ := s.section("cost", serviceCost)
	pool := &v1.Pool{
		Name:        s.text("name"),
		Kind:        v1.PoolKind_SERVICE,
		Class:       s.text("deadline"),
		InitialCost: cost.number("first_estimate"),
		Shards:      s.number("shards"),
	}
	field := b.addPool(s, pool)
	for i, call := range s.list("calls", callFields) {
		b.origins.record(fmt.Sprintf("%s.rules[%d]", field, i), call, fieldMap{
			"method":      {key: "call"},
			"path_prefix": {key: "call"},
			"class":       {key: "deadline"},
		})
		pool.Rules = append(pool.Rules, b.methodRule(call))
	}
	b.addTargets(s, pool)
}

// addPool appends the pool, which is generated from s, and returns its path in the configuration.
func (b *builder) addPool(s section, pool *v1.Pool) string {
	field := fmt.Sprintf("pools[%d]", len(b.config.Pools))
	b.origins.record(field, s, fieldMap{
		"class":         {key: "deadline"},
		"rules":         {key: "calls"},
		"input_weight":  {key: "cost.input_token"},
		"output_weight": {key: "cost.output_token"},
		"initial_cost":  {key: "cost.first_estimate"},
	})
	b.config.Pools = append(b.config.Pools, pool)
	return field
}

// methodRule returns the rule for one entry of a service's calls. The field "call" consists of a
// method and an optional path prefix, for instance "POST /jobs".
func (b *builder) methodRule(s section) *v1.MethodRule {
	method, path, _ := strings.Cut(s.text("call"), " ")
	if method == "" {
		s.fail("call", "a method or ANY, and an optional path, for instance \"POST /jobs\"")
	}
	if method == anyMethod {
		method = ""
	}
	return &v1.MethodRule{
		Method:     method,
		PathPrefix: strings.TrimSpace(path),
		Idempotent: s.requiredFlag("repeatable"),
		Class:      s.text("deadline"),
	}
}

// addTargets adds the targets of a pool. The name of a target consists of the names of its pool and
// zone and a number that counts the pool's targets in the zone from 1 on.
func (b *builder) addTargets(s section, pool *v1.Pool) {
	countInZone := map[string]int{}
	for _, group := range s.list("targets", targetGroupFields) {
		zone := group.text("zone")
		for _, address := range b.addresses(group) {
			countInZone[zone]++
			b.addTarget(group, pool, zone, address, countInZone[zone])
		}
	}
}

// addTarget adds one target of the group s; number is its number within the pool and the zone.
func (b *builder) addTarget(s section, pool *v1.Pool, zone, address string, number int) {
	b.origins.record(fmt.Sprintf("targets[%d]", len(b.config.Targets)), s, fieldMap{
		"address":       {key: "first_address"},
		"speed_percent": {key: "speed", unit: "%"},
		"name":          {key: "zone"},
	})
	speed := uint32(referenceSpeed)
	if s.has("speed") {
		speed = s.percent("speed")
	}
	b.config.Targets = append(b.config.Targets, &v1.Target{
		Name:          pool.Name + "-" + zone + "-" + strconv.Itoa(number),
		Pool:          pool.Name,
		Zone:          zone,
		Address:       address,
		Slots:         s.number("slots"),
		Resumes:       s.flag("resumes"),
		ChecksFencing: s.flag("checks_fencing"),
		Role:          s.text("role"),
		SpeedPercent:  speed,
	})
}

// addresses returns the addresses of the targets in the group s. It reports an invalid answer and
// returns nil if they cannot be determined.
func (b *builder) addresses(s section) []string {
	count := s.number("count")
	if count < 1 || count > maxGroupCount {
		s.fail("count", fmt.Sprintf("1 to %d", maxGroupCount))
		return nil
	}
	next := s.text("next_address")
	if next != "" && next != nextIP && next != nextPort {
		s.fail("next_address", nextIP+" or "+nextPort)
		return nil
	}
	addr, err := netip.ParseAddrPort(s.text("first_address"))
	if err != nil {
		s.fail("first_address", "IP:port")
		return nil
	}
	return b.addressesFrom(s, addr, int(count), next == nextPort)
}

// addressesFrom returns count consecutive addresses from addr on, which differ in the port or else
// in the IP address.
func (b *builder) addressesFrom(s section, addr netip.AddrPort, count int, byPort bool) []string {
	if byPort && int(addr.Port())+count-1 > math.MaxUint16 {
		s.fail("first_address", fmt.Sprintf("a port that leaves room for %d targets up to port %d", count, math.MaxUint16))
		return nil
	}
	addresses := make([]string, 0, count)
	for range count {
		if !addr.IsValid() {
			s.fail("first_address", fmt.Sprintf("an IP address that leaves room for %d targets", count))
			return nil
		}
		addresses = append(addresses, addr.String())
		if byPort {
			addr = netip.AddrPortFrom(addr.Addr(), addr.Port()+1)
		} else {
			addr = netip.AddrPortFrom(addr.Addr().Next(), addr.Port())
		}
	}
	return addresses
}
