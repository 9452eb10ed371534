package fairshare

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
)

const (
	a = config.ID(1)
	b = config.ID(2)
)

func anyWorkspace(config.ID) bool { return true }

// twoWorkspaces returns counters for a with share 1 and b with share 2.
func twoWorkspaces() *Counters {
	c := New(Options{InitialCost: 100, MaxLead: 500})
	c.Configure(a, 1, "")
	c.Configure(b, 2, "")
	return c
}

// runRequest charges a request whose estimate is its cost, and ends it.
func runRequest(c *Counters, id config.ID, cost int64) {
	ch := c.Start(id, cost)
	c.Settle(&ch, cost)
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.MarkBacklogged(a)
	runRequest(c, a, 1000)
	c.MarkBacklogged(b)
	is.Equal(c.Value(b), c.Value(a)) // lifted to the counter of the only backlogged workspace
	c.MarkIdle(a)
	c.MarkIdle(b)
	runRequest(c, a, 1000)
	runRequest(c, a, 1)
	c.MarkBacklogged(b)
	is.Equal(c.Value(b), uint64(2000*Scale)) // lifted to the counter before the last grant
}

func TestEstimate(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	is.Equal(c.Estimate(a, 0), int64(100))
	is.Equal(c.Estimate(a, 30), int64(30)) // the hint is lower than the mean
	runRequest(c, a, 800)
	is.Equal(c.Estimate(a, 0), int64(800))
	runRequest(c, a, 0)
	is.Equal(c.Estimate(a, 0), int64(700)) // the mean moves by an eighth of the difference
}

func TestRefundAndSettlement(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	runRequest(c, b, 1001)
	before := c.Value(b)
	ch := c.Start(b, 77)
	c.Progress(&ch, 501)
	c.Progress(&ch, 400) // a late report is ignored
	is.Equal(ch.Cost(), int64(501))
	c.Refund(&ch)
	is.Equal(c.Value(b), before)
	c.Refund(&ch) // the charge has ended
	is.Equal(c.Value(b), before)
	ch = c.Start(b, 300)
	c.Settle(&ch, 100)
	is.Equal(c.Value(b), before+50*Scale)
}

// A lift replaces what was charged before it. A later refund of such a charge would give
// the workspace a lower counter than its competitors.
func TestRefundOfChargeBeforeLiftIsDropped(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	ch := c.Start(b, 200)
	c.MarkBacklogged(a)
	runRequest(c, a, 1000)
	c.MarkBacklogged(b)
	lifted := c.Value(b)
	c.Refund(&ch)
	is.Equal(c.Value(b), lifted)
}

func TestMergeTakesMaximum(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.Merge([]Counter{{a, 100, false}, {b, 50, false}})
	c.Merge([]Counter{{a, 70, false}, {b, 60, false}})
	is.Equal(c.Value(a), uint64(100))
	is.Equal(c.Value(b), uint64(60))
}

// A merge may raise one counter far above the others, if the counters of the holders have
// diverged. Without the bound of MaxLead that workspace would not be served until all
// others had caught up.
func TestMergeBoundsLeadOfDivergedCounters(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.MarkBacklogged(a)
	c.MarkBacklogged(b)
	c.Merge([]Counter{{a, 1 << 40, true}})
	is.Equal(c.Value(a), uint64(1<<40))                // the maximum is kept
	is.Equal(c.Value(a)-c.Value(b), uint64(500*Scale)) // MaxLead
	c = twoWorkspaces()
	c.Merge([]Counter{{a, 1 << 40, false}})
	c.MarkBacklogged(b)
	c.MarkBacklogged(a)
	is.Equal(c.Value(a)-c.Value(b), uint64(500*Scale))
}

// A merge into the empty group does not lift the workspaces of named groups, so that the
// lead is bounded by lowering the merged counter.
func TestMergeLimitsTheLeadOverOtherGroups(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.Configure(b, 1, "east")
	c.MarkBacklogged(a)
	c.MarkBacklogged(b)
	c.Merge([]Counter{{a, 1 << 40, true}})
	is.Equal(c.Value(b), uint64(0))
	is.Equal(c.Value(a), uint64(500*Scale)) // otherwise a would starve in the east
}

// westMessage returns a message of region "west" with the service of workspace a in cost
// units at share 1.
func westMessage(epoch, version, served uint64) RegionCounters {
	return RegionCounters{Region: "west", Epoch: epoch, Version: version, Counters: []Counter{{a, served * Scale, false}}}
}

func TestRegionsOrderByTotalService(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.MarkBacklogged(a)
	c.MarkBacklogged(b)
	runRequest(c, b, 200) // 200 over share 2 is 100
	is.True(c.MergeRegion(westMessage(1, 1, 9000)))
	is.Equal(c.Value(a), uint64(0)) // the first message only sets the base
	c.MergeRegion(westMessage(1, 2, 9150))
	is.Equal(c.Value(a), uint64(150*Scale))
	first, ok := c.Next("", anyWorkspace)
	is.True(ok)
	is.Equal(first, b)
	c.MergeRegion(westMessage(2, 1, 9400)) // another holder of the counters
	is.Equal(c.Value(a), uint64(150*Scale))
	c.MergeRegion(westMessage(2, 2, 99000))
	is.Equal(c.Value(a)-c.Value(b), uint64(500*Scale)) // at most MaxLead ahead
}

// Messages that arrive twice or out of order must not charge the same service again.
func TestStaleAndDuplicateRegionCountersAreIgnored(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.MarkBacklogged(a)
	c.MergeRegion(westMessage(1, 1, 100))
	c.MergeRegion(westMessage(1, 3, 130))
	is.True(!c.MergeRegion(westMessage(1, 2, 110)))
	is.True(!c.MergeRegion(westMessage(1, 3, 130)))
	c.MergeRegion(westMessage(1, 4, 140))
	is.Equal(c.Value(a), uint64(40*Scale))
}

// The lead from service in other regions is bounded also for a workspace of the empty
// group if a named group has no capacity, and thus no competitors for it.
func TestRemoteServiceLeadIsBoundedWithoutGroupCapacity(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.Configure(b, 1, "east")
	c.Configure(3, 1, "west")
	c.SetGroupsWithCapacity([]string{"east"})
	c.MarkBacklogged(a)
	c.MarkBacklogged(b)
	c.MergeRegion(westMessage(1, 1, 0))
	c.MergeRegion(westMessage(1, 2, 99000))
	is.Equal(c.Value(a), uint64(500*Scale)) // MaxLead
}

// Service in another region counts only while the workspace is backlogged in this one.
func TestRemoteServiceOfIdleWorkspaceIsNotCharged(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.MergeRegion(westMessage(1, 1, 100))
	c.MarkBacklogged(a)
	c.MergeRegion(westMessage(1, 2, 200))
	is.Equal(c.Value(a), uint64(0))
	c.MergeRegion(westMessage(1, 3, 210))
	is.Equal(c.Value(a), uint64(10*Scale))
}

func TestServiceCountersListWorkspacesBackloggedInAnyRegion(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	runRequest(c, a, 11)
	is.Equal(len(c.ServiceCounters()), 0)
	c.MergeRegion(RegionCounters{Region: "west", Version: 1, Counters: []Counter{{a, 0, true}}})
	is.Equal(c.ServiceCounters(), []Counter{{a, 11 * Scale, false}})
	c.MarkBacklogged(b)
	is.Equal(len(c.ServiceCounters()), 2)
	c.MergeRegion(RegionCounters{Region: "west", Version: 2})
	is.Equal(c.ServiceCounters(), []Counter{{b, 0, true}})
}

func TestGroupsCompeteSeparately(t *testing.T) {
	is := is.New(t)
	c := New(Options{})
	c.Configure(1, 1, "east")
	c.Configure(2, 1, "west")
	c.Configure(3, 1, "")
	c.MarkBacklogged(1)
	runRequest(c, 1, 5000)
	c.MarkBacklogged(2)
	is.Equal(c.Value(2), uint64(0)) // workspace 2 does not compete with 1
	c.MarkBacklogged(3)
	is.Equal(c.Value(3), c.Value(1)) // the greater lift of the two groups
	first, _ := c.Next("west", anyWorkspace)
	is.Equal(first, config.ID(2))
	first, _ = c.Next("west", func(id config.ID) bool { return id != 2 })
	is.Equal(first, config.ID(3))
	is.Equal(c.BackloggedShares("west"), int64(2))
	is.Equal(c.BackloggedShares(""), int64(3))
}

func TestNumberOfIdleWorkspacesIsBounded(t *testing.T) {
	is := is.New(t)
	c := New(Options{MaxIdle: 10})
	held := c.Start(9999, 5)
	for id := range config.ID(1000) {
		runRequest(c, id, 1)
	}
	is.Equal(c.Len(), 11)
	c.Settle(&held, 5)
	is.Equal(c.Len(), 10)
}

// Next agrees with a scan of all counters after random operations.
func TestNextReturnsLeastCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Options{})
		for id := range config.ID(6) {
			c.Configure(id, uint32(1+id%3), "")
		}
		var charges []Charge
		for range 100 {
			id := config.ID(rapid.IntRange(0, 5).Draw(t, "workspace"))
			cost := rapid.Int64Range(0, 1000).Draw(t, "cost")
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0:
				c.MarkBacklogged(id)
			case 1:
				c.MarkIdle(id)
			case 2:
				charges = append(charges, c.Start(id, cost))
			case 3:
				if len(charges) > 0 {
					c.Progress(&charges[0], cost)
				}
			case 4:
				if len(charges) > 0 {
					c.Settle(&charges[0], cost)
					charges = charges[1:]
				}
			}
			checkLeast(t, c)
		}
	})
}

// checkLeast fails the test if a backlogged workspace has a lower counter than the result
// of Next.
func checkLeast(t *rapid.T, c *Counters) {
	first, ok := c.Next("", anyWorkspace)
	for _, counter := range c.Snapshot() {
		if counter.Backlogged && (!ok || counter.Value < c.Value(first)) {
			t.Fatalf("%d comes before %d", counter.Workspace, first)
		}
	}
}
