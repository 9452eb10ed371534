package questionnaire

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Fields of pools.
var (
	engineFields  = []string{"name", "deadline", "cost", "model", "shards", "targets"}
	serviceFields = []string{"name", "deadline", "cost", "calls", "shards", "targets"}
	engineCost    = []string{"input_token", "output_token", "first_estimate"}
	serviceCost   = []string{"first_estimate"}
	modelFields   = []string{"version", "adapters", "weights"}
	callFields    = []string{"call", "repeatable", "deadline"}
	groupFields   = []string{"zone", "count", "first_address", "next_address", "slots", "speed", "resumes", "checks_fencing", "role"}
)

const (
	maxGroupCount  = 10_000
	referenceSpeed = 100

	// Answers to next_address: what grows from one target to the next.
	nextIP   = "ip"
	nextPort = "port"
)

// anyMethod in a call matches each HTTP method.
const anyMethod = "ANY"

func (b *builder) engines(s section) {
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
		b.origins.place(field+".model", model, fieldMap{"weight_bytes": {key: "weights", unit: "bytes"}})
		pool.Model = &v1.ModelState{
			Version:     model.text("version"),
			Adapters:    model.texts("adapters"),
			WeightBytes: model.size("weights"),
		}
	}
	b.groups(s, pool)
}

func (b *builder) services(s section) {
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
		b.origins.place(fmt.Sprintf("%s.rules[%d]", field, i), call, fieldMap{
			"method":      {key: "call"},
			"path_prefix": {key: "call"},
			"class":       {key: "deadline"},
		})
		pool.Rules = append(pool.Rules, b.rule(call))
	}
	b.groups(s, pool)
}

// addPool appends the pool and returns its path in the configuration.
func (b *builder) addPool(s section, pool *v1.Pool) string {
	field := fmt.Sprintf("pools[%d]", len(b.config.Pools))
	b.origins.place(field, s, fieldMap{
		"class":         {key: "deadline"},
		"rules":         {key: "calls"},
		"input_weight":  {key: "cost.input_token"},
		"output_weight": {key: "cost.output_token"},
		"initial_cost":  {key: "cost.first_estimate"},
	})
	b.config.Pools = append(b.config.Pools, pool)
	return field
}

// rule reads a call written as a method and an optional path prefix, for
// instance "POST /jobs".
func (b *builder) rule(s section) *v1.MethodRule {
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

// groups adds the targets of a pool. Targets are named after pool and zone and
// numbered from 1 within both.
func (b *builder) groups(s section, pool *v1.Pool) {
	lastInZone := map[string]int{}
	for _, group := range s.list("targets", groupFields) {
		zone := group.text("zone")
		for _, address := range b.addresses(group) {
			lastInZone[zone]++
			b.target(group, pool, zone, address, lastInZone[zone])
		}
	}
}

func (b *builder) target(s section, pool *v1.Pool, zone, address string, number int) {
	b.origins.place(fmt.Sprintf("targets[%d]", len(b.config.Targets)), s, fieldMap{
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

// addresses returns the addresses of a group's targets.
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
