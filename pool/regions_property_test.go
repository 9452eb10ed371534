package pool

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
)

// regionMaxLead is Options.MaxLead in the model of regions, in cost units.
const regionMaxLead = 2000

// backlog keeps demands of each workspace waiting at the routers of its regions.
type backlog struct {
	*regionsModel
	// homes holds, for each workspace, the regions whose routers receive its
	// requests. costs holds the mean cost of its requests.
	homes [][]*modelRegion
	costs []int64
}

// backlogDepth is the number of demands of a workspace that wait at a router.
const backlogDepth = 12

func newBacklog(t *rapid.T, m *regionsModel) *backlog {
	b := &backlog{regionsModel: m}
	for _, w := range m.workspaces {
		homes := m.regions
		if i := slices.IndexFunc(m.regions, func(g *modelRegion) bool { return g.name == w.DataCentre }); i >= 0 {
			homes = m.regions[i : i+1]
		} else if one := rapid.IntRange(0, len(m.regions)).Draw(t, "home"); one < len(m.regions) {
			homes = m.regions[one : one+1]
		}
		b.homes = append(b.homes, homes)
		b.costs = append(b.costs, rapid.Int64Range(40, 300).Draw(t, "cost"))
	}
	return b
}

// queue is the backlog of a workspace at the router of a region.
type queue struct {
	workspace config.ID
	home      *modelRegion
}

// fill submits demands until backlogDepth wait in each queue.
func (b *backlog) fill() {
	waiting := map[queue]int{}
	for _, d := range b.all {
		if d.servedBy == nil && d.endCount == 0 {
			waiting[queue{d.workspace, d.home}]++
		}
	}
	for i, w := range b.workspaces {
		for _, home := range b.homes[i] {
			for range backlogDepth - waiting[queue{w.ID, home}] {
				cost := b.costs[i] * int64(1+b.rng.IntN(5)) / 3
				b.submit(home, w.ID, cost, time.Hour)
			}
		}
	}
}

// dropEnded drops demands that ended, so that a long run stays fast.
func (b *backlog) dropEnded() {
	kept := b.all[:0]
	for _, d := range b.all {
		if d.endCount == 0 {
			kept = append(kept, d)
		}
	}
	b.all = kept
}

// gaps holds the range of the difference between the services of two workspaces, each
// divided by its share, for each pair of indexes.
type gaps struct{ low, high map[[2]int]float64 }

// observe updates the ranges of g. It divides the width of each range by the bound of its
// pair of workspaces and returns the largest result. It compares workspaces of the same
// data centre only.
func (b *backlog) observe(g *gaps) float64 {
	worst := 0.0
	for i, f := range b.workspaces {
		for j, other := range b.workspaces[:i] {
			if f.DataCentre != other.DataCentre {
				continue
			}
			pair := [2]int{i, j}
			difference := b.served[f.ID]/float64(f.Share) - b.served[other.ID]/float64(other.Share)
			if _, ok := g.low[pair]; !ok {
				g.low[pair], g.high[pair] = difference, difference
			}
			g.low[pair], g.high[pair] = min(g.low[pair], difference), max(g.high[pair], difference)
			worst = max(worst, (g.high[pair]-g.low[pair])/b.bound(f, other))
		}
	}
	return worst
}

// leadPart returns how far a workspace that may use all slots is ahead of all others in
// the service received since from was recorded, divided by the bound. It looks at
// workspaces that have competitors in each region.
func (b *backlog) leadPart(from map[config.ID]float64) float64 {
	worst := 0.0
	for _, f := range b.workspaces {
		if f.DataCentre != "" || !b.competesEverywhere(f) {
			continue
		}
		part := math.Inf(1)
		for _, g := range b.workspaces {
			if g.ID != f.ID {
				lead := (b.served[f.ID]-from[f.ID])/float64(f.Share) - (b.served[g.ID]-from[g.ID])/float64(g.Share)
				part = min(part, lead/b.bound(f, g))
			}
		}
		worst = max(worst, part)
	}
	return worst
}

// competesEverywhere reports whether workspaces other than f may use the slots of each
// region.
func (b *backlog) competesEverywhere(f Workspace) bool {
	for _, g := range b.regions {
		if !slices.ContainsFunc(b.workspaces, func(w Workspace) bool {
			return w.ID != f.ID && (w.DataCentre == "" || w.DataCentre == g.name)
		}) {
			return false
		}
	}
	return true
}

// run keeps all workspaces backlogged for the duration d and returns the largest gap
// divided by its bound.
func (b *backlog) run(d time.Duration) float64 {
	g := &gaps{map[[2]int]float64{}, map[[2]int]float64{}}
	from := maps.Clone(b.served)
	for _, w := range b.workspaces {
		b.lastGrant[w.ID] = b.now
	}
	b.longestWithoutGrant = 0
	for end := b.now.Add(d); b.now.Before(end); {
		b.fill()
		b.advance()
		b.observe(g)
		b.dropEnded()
	}
	for _, w := range b.workspaces {
		b.longestWithoutGrant = max(b.longestWithoutGrant, b.now.Sub(b.lastGrant[w.ID]))
	}
	return max(b.observe(g), b.leadPart(from))
}

// starvationLimit returns the time after which a workspace without grants is behind
// another one by more than the gap. It is the time in which the busy slots of the smallest
// region serve the other workspaces that much.
func (b *backlog) starvationLimit(gap float64) time.Duration {
	shares := 0.0
	for _, w := range b.workspaces {
		shares += float64(w.Share)
	}
	const longest = 2 * time.Second
	return longest + time.Duration(gap*shares/(b.capacity(true)-b.capacity(false))*float64(time.Second))
}

// largestBound returns the largest bound of all pairs of workspaces.
func (b *backlog) largestBound() float64 {
	bound := 0.0
	for i, f := range b.workspaces {
		for _, g := range b.workspaces[:i] {
			bound = max(bound, b.bound(f, g))
		}
	}
	return bound
}

// checkLead fails if service in other regions puts a workspace more than MaxLead ahead
// of its competitors in a region.
func (b *backlog) checkLead() {
	for _, g := range b.regions {
		var leader, last Workspace
		highest, least := uint64(0), uint64(math.MaxUint64)
		for _, w := range b.workspaces {
			c := g.sched.Counter(w.ID)
			if !c.Backlogged {
				continue
			}
			if c.Value > highest {
				highest, leader = c.Value, w
			}
			if c.Value < least {
				least, last = c.Value, w
			}
		}
		if highest == 0 {
			continue
		}
		lead, own := float64(highest-least)/fairshare.Scale, b.maxChargeChange(leader)+b.maxChargeChange(last)
		if lead > regionMaxLead+own {
			b.t.Fatalf("workspace %d is %.0f ahead of %d in region %s; MaxLead and the charges are %.0f", leader.ID, lead, last.ID, g.name, regionMaxLead+own)
		}
	}
}

// maxChargeChange returns the most by which the charges of a workspace's requests in
// flight can change its counter.
func (b *backlog) maxChargeChange(w Workspace) float64 {
	t := b.terms[w.ID]
	return float64(int64(t.maxSlotsHeld)*(t.estimate+t.up+t.down)) / float64(w.Share)
}

func drawRegionFaults(t *rapid.T) regionFaults {
	return regionFaults{
		loss:      rapid.Float64Range(0, 0.3).Draw(t, "loss"),
		duplicate: rapid.Float64Range(0, 0.3).Draw(t, "double"),
		delay:     time.Duration(rapid.IntRange(2, 700).Draw(t, "delay")) * time.Millisecond,
	}
}

// TestGapOverRegions checks the bound of docs/DESIGN.md over two or three regions, and
// that no workspace starves, while exchange messages are lost, duplicated, late and out
// of order.
func TestGapOverRegions(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		m := newRegionsModel(t, rapid.IntRange(2, 3).Draw(t, "regions"), drawRegionFaults(t))
		b := newBacklog(t, m)
		b.run(2 * time.Second)
		part := b.run(time.Minute)
		if part > 1 {
			t.Fatalf("the gap is %.2f of the bound", part)
		}
		if limit := b.starvationLimit(b.largestBound()); b.longestWithoutGrant > limit {
			t.Fatalf("a workspace had no grant for %v; the limit is %v", b.longestWithoutGrant, limit)
		}
		worst = max(worst, part)
	})
	t.Logf("largest gap: %.2f of the bound", worst)
}

// TestNoWorkspaceStarvesAfterPartition cuts one region off, may replace a scheduler by an
// empty one, and connects the region again. Service that becomes known only then may put
// a workspace ahead of its competitors by MaxLead, so that one of them waits at most for
// that lead and the bound.
func TestNoWorkspaceStarvesAfterPartition(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		m := newRegionsModel(t, rapid.IntRange(2, 3).Draw(t, "regions"), drawRegionFaults(t))
		b := newBacklog(t, m)
		b.run(2 * time.Second)
		m.setPartitioned(true)
		b.run(time.Duration(rapid.IntRange(1, 90).Draw(t, "cut")) * time.Second)
		if rapid.Bool().Draw(t, "lost") {
			m.startScheduler(rapid.SampledFrom(m.regions).Draw(t, "region"))
		}
		m.setPartitioned(false)
		b.run(2 * time.Second)
		b.checkLead()
		part := b.run(20 * time.Second)
		limit := b.starvationLimit(b.largestBound() + regionMaxLead)
		if b.longestWithoutGrant > limit {
			t.Fatalf("a workspace had no grant for %v; the limit is %v", b.longestWithoutGrant, limit)
		}
		worst = max(worst, part)
	})
	t.Logf("largest gap after the cut: %.2f of the bound without one", worst)
}

// TestDemandsEndOnceOverRegions checks that each demand runs or is refused once, and that
// all slots are free in the end, while regions are cut off, schedulers are replaced and
// events cross on the way.
func TestDemandsEndOnceOverRegions(t *testing.T) {
	away, refused, total := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newRegionsModel(t, rapid.IntRange(2, 3).Draw(t, "regions"), drawRegionFaults(t))
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			m.drawEvent()
			for range rapid.IntRange(0, 20).Draw(t, "ticks") {
				m.advance()
			}
		}
		if m.partitioned {
			m.setPartitioned(false)
		}
		m.drain(20 * time.Second)
		for _, d := range m.all {
			total++
			if d.refused {
				refused++
			} else if d.servedBy != d.home {
				away++
			}
		}
	})
	t.Logf("%d of %d demands ran in another region, %d were refused", away, total, refused)
}

// drawEvent draws the start or end of a partition, the loss of a scheduler, or a burst of
// demands.
func (m *regionsModel) drawEvent() {
	switch rapid.IntRange(0, 15).Draw(m.t, "event") {
	case 0:
		m.setPartitioned(!m.partitioned)
	case 1:
		m.startScheduler(rapid.SampledFrom(m.regions).Draw(m.t, "lost"))
	default:
		home := rapid.SampledFrom(m.regions).Draw(m.t, "home")
		workspace := rapid.SampledFrom(m.workspaces).Draw(m.t, "workspace")
		for workspace.DataCentre != "" && workspace.DataCentre != home.name {
			home = m.regions[(home.index+1)%len(m.regions)]
		}
		for range rapid.IntRange(1, 8).Draw(m.t, "burst") {
			wait := time.Duration(rapid.IntRange(50, 5000).Draw(m.t, "wait")) * time.Millisecond
			m.submit(home, workspace.ID, rapid.Int64Range(10, 400).Draw(m.t, "cost"), wait)
		}
	}
}
