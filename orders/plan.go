package orders

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Plan is the desired state of all engines under one revision of the
// configuration. It is immutable.
type Plan struct {
	Revision uint64
	// Engines holds the engines with a desired state, by name.
	Engines []Engine
	Shards  []Shard
}

// Engine is an engine with its desired state. An empty version or role is left
// as it is.
type Engine struct {
	Name          string
	Address       string
	Pool          string
	Region        string
	Slots         uint32
	ChecksFencing bool
	Version       string
	// Adapters are the adapters that have to be loaded. Others may stay, since
	// engines know no order to unload.
	Adapters []string
	Role     string
	// WeightBytes is the size of one load.
	WeightBytes uint64
	// Shard is the index of the shard in Plan.Shards.
	Shard int
}

// Shard is a part of the engines that has one sender, and its part of the
// limits of the weight store.
type Shard struct {
	Regions []string
	// MaxLoads is the number of loads at the same time; 0 is no limit.
	MaxLoads uint32
	// BytesPerSecond is the rate of admitted loads; 0 is no limit.
	BytesPerSecond uint64
}

// NewPlan returns the plan of a configuration. The error is a RevisionError.
func NewPlan(accepted *config.Accepted) (*Plan, error) {
	if accepted.Revision > MaxRevision {
		return nil, RevisionError{Revision: accepted.Revision}
	}
	p := &Plan{Revision: accepted.Revision}
	regions := map[string]bool{}
	for _, target := range accepted.Proto.Targets {
		engine, ok := newEngine(accepted, target)
		if !ok {
			continue
		}
		p.Engines = append(p.Engines, engine)
		regions[engine.Region] = true
	}
	slices.SortFunc(p.Engines, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	p.divide(slices.Sorted(maps.Keys(regions)), accepted.Proto.WeightStore)
	return p, nil
}

// newEngine returns false for targets without a desired state.
func newEngine(accepted *config.Accepted, target *v1.Target) (Engine, bool) {
	pool, _ := accepted.Pool(target.Pool)
	zone, _ := accepted.Zone(target.Zone)
	if pool.GetKind() != v1.PoolKind_ENGINE {
		return Engine{}, false
	}
	if pool.Model == nil && target.Role == "" {
		return Engine{}, false
	}
	return Engine{
		Name:          target.Name,
		Address:       target.Address,
		Pool:          target.Pool,
		Region:        zone.GetRegion(),
		Slots:         target.Slots,
		ChecksFencing: target.ChecksFencing,
		Version:       pool.Model.GetVersion(),
		Adapters:      pool.Model.GetAdapters(),
		Role:          target.Role,
		WeightBytes:   pool.Model.GetWeightBytes(),
	}, true
}

// divide deals the regions out to shards and splits the limits between them.
func (p *Plan) divide(regions []string, store *v1.WeightStore) {
	count := len(regions)
	if loads := int(store.GetMaxConcurrentLoads()); loads > 0 {
		count = min(count, loads)
	}
	p.Shards = make([]Shard, count)
	shardOf := map[string]int{}
	for i, region := range regions {
		shardOf[region] = i % count
		p.Shards[i%count].Regions = append(p.Shards[i%count].Regions, region)
	}
	for i := range p.Shards {
		p.Shards[i].MaxLoads = part(store.GetMaxConcurrentLoads(), i, count)
		if rate := store.GetBytesPerSecond(); rate > 0 {
			p.Shards[i].BytesPerSecond = max(part(rate, i, count), 1)
		}
	}
	for i := range p.Engines {
		p.Engines[i].Shard = shardOf[p.Engines[i].Region]
	}
}

// part returns the i-th of count nearly equal parts of total.
func part[T uint32 | uint64](total T, i, count int) T {
	size := total / T(count)
	if T(i) < total%T(count) {
		size++
	}
	return size
}

// readTime returns how long the weight store is busy with a load at the rate,
// and zero without a limit.
func readTime(bytes, bytesPerSecond uint64) time.Duration {
	if bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
}
