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

func twoWorkspaces() *Counters {
	c := New(Options{InitialCost: 100, MaxLead: 500})
	c.Configure(a, 1, "")
	c.Configure(b, 2, "")
	return c
}

// serve charges a request of the workspace that costs cost.
func serve(c *Counters, id config.ID, cost int64) {
	ch := c.Start(id, cost)
	c.Settle(&ch, cost)
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.Backlog(a)
	serve(c, a, 1000)
	c.Backlog(b)
	is.Equal(c.Value(b), c.Value(a)) // lifted to the only backlogged one
	c.Idle(a)
	c.Idle(b)
	serve(c, a, 1000)
	serve(c, a, 1)
	c.Backlog(b)
	is.Equal(c.Value(b), uint64(2000*Scale)) // lifted to the start of the last grant
}

func TestEstimate(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	is.Equal(c.Estimate(a, 0), int64(100))
	is.Equal(c.Estimate(a, 30), int64(30)) // the hint bounds it
	serve(c, a, 800)
	is.Equal(c.Estimate(a, 0), int64(800))
	serve(c, a, 0)
	is.Equal(c.Estimate(a, 0), int64(700)) // moves by an eighth
}

func TestRefundAndSettlement(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	serve(c, b, 1001)
	before := c.Value(b)
	ch := c.Start(b, 77)
	c.Progress(&ch, 501)
	c.Progress(&ch, 400) // late, ignored
	is.Equal(ch.Cost(), int64(501))
	c.Refund(&ch)
	is.Equal(c.Value(b), before)
	c.Refund(&ch) // ended already
	is.Equal(c.Value(b), before)
	ch = c.Start(b, 300)
	c.Settle(&ch, 100)
	is.Equal(c.Value(b), before+50*Scale)
}

func TestRefundFromBeforeLiftIsDropped(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	ch := c.Start(b, 200)
	c.Backlog(a)
	serve(c, a, 1000)
	c.Backlog(b)
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

func TestMergeAfterClocksRanApart(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.Backlog(a)
	c.Backlog(b)
	c.Merge([]Counter{{a, 1 << 40, true}})
	is.Equal(c.Value(a), uint64(1<<40))                // the maximum is kept
	is.Equal(c.Value(a)-c.Value(b), uint64(500*Scale)) // MaxLead
	c = twoWorkspaces()
	c.Merge([]Counter{{a, 1 << 40, false}})
	c.Backlog(b)
	c.Backlog(a)
	is.Equal(c.Value(a)-c.Value(b), uint64(500*Scale))
}

func TestMergeLimitsTheLeadOverOtherGroups(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.Configure(b, 1, "east")
	c.Backlog(a)
	c.Backlog(b)
	c.Merge([]Counter{{a, 1 << 40, true}})
	is.Equal(c.Value(b), uint64(0))
	is.Equal(c.Value(a), uint64(500*Scale)) // a would starve in the east otherwise
}

// told returns a message of another region about workspace a.
func told(epoch, version, served uint64) RegionCounters {
	return RegionCounters{Region: "west", Epoch: epoch, Version: version, Counters: []Counter{{a, served * Scale, false}}}
}

func TestRegionsOrderByTotalService(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.Backlog(a)
	c.Backlog(b)
	serve(c, b, 200) // 100 over its share
	is.True(c.MergeRegion(told(1, 1, 9000)))
	is.Equal(c.Value(a), uint64(0)) // the first message is the base
	c.MergeRegion(told(1, 2, 9150))
	is.Equal(c.Value(a), uint64(150*Scale))
	first, ok := c.Next("", anyWorkspace)
	is.True(ok)
	is.Equal(first, b)
	c.MergeRegion(told(2, 1, 9400)) // another scheduler there
	is.Equal(c.Value(a), uint64(150*Scale))
	c.MergeRegion(told(2, 2, 99000))
	is.Equal(c.Value(a)-c.Value(b), uint64(500*Scale)) // at most MaxLead ahead
}

func TestLateAndDoubledRegionCountersChangeNothing(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.Backlog(a)
	c.MergeRegion(told(1, 1, 100))
	c.MergeRegion(told(1, 3, 130))
	is.True(!c.MergeRegion(told(1, 2, 110)))
	is.True(!c.MergeRegion(told(1, 3, 130)))
	c.MergeRegion(told(1, 4, 140))
	is.Equal(c.Value(a), uint64(40*Scale))
}

// TestForeignLeadIsBoundedWhereGroupsHaveNoCapacity has a workspace of the empty
// group that is alone in a group without capacity.
func TestForeignLeadIsBoundedWhereGroupsHaveNoCapacity(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.Configure(b, 1, "east")
	c.Configure(3, 1, "west")
	c.Serve([]string{"east"})
	c.Backlog(a)
	c.Backlog(b)
	c.MergeRegion(told(1, 1, 0))
	c.MergeRegion(told(1, 2, 99000))
	is.Equal(c.Value(a), uint64(500*Scale)) // MaxLead
}

func TestForeignServiceOfAnIdleWorkspaceIsNotCharged(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	c.MergeRegion(told(1, 1, 100))
	c.Backlog(a)
	c.MergeRegion(told(1, 2, 200))
	is.Equal(c.Value(a), uint64(0))
	c.MergeRegion(told(1, 3, 210))
	is.Equal(c.Value(a), uint64(10*Scale))
}

func TestServedTellsOfWorkspacesBackloggedSomewhere(t *testing.T) {
	is := is.New(t)
	c := twoWorkspaces()
	serve(c, a, 11)
	is.Equal(len(c.Served()), 0)
	c.MergeRegion(RegionCounters{Region: "west", Version: 1, Counters: []Counter{{a, 0, true}}})
	is.Equal(c.Served(), []Counter{{a, 11 * Scale, false}})
	c.Backlog(b)
	is.Equal(len(c.Served()), 2)
	c.MergeRegion(RegionCounters{Region: "west", Version: 2})
	is.Equal(c.Served(), []Counter{{b, 0, true}})
}

func TestGroupsCompeteApart(t *testing.T) {
	is := is.New(t)
	c := New(Options{})
	c.Configure(1, 1, "east")
	c.Configure(2, 1, "west")
	c.Configure(3, 1, "")
	c.Backlog(1)
	serve(c, 1, 5000)
	c.Backlog(2)
	is.Equal(c.Value(2), uint64(0)) // does not compete with 1
	c.Backlog(3)
	is.Equal(c.Value(3), c.Value(1)) // the greater of the two levels
	first, _ := c.Next("west", anyWorkspace)
	is.Equal(first, config.ID(2))
	first, _ = c.Next("west", func(id config.ID) bool { return id != 2 })
	is.Equal(first, config.ID(3))
	is.Equal(c.BackloggedShares("west"), int64(2))
	is.Equal(c.BackloggedShares(""), int64(3))
}

func TestIdleMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	c := New(Options{MaxIdle: 10})
	held := c.Start(9999, 5)
	for id := range config.ID(1000) {
		serve(c, id, 1)
	}
	is.Equal(c.Len(), 11)
	c.Settle(&held, 5)
	is.Equal(c.Len(), 10)
}

// TestNextIsLeast compares the heap with a scan after random operations.
func TestNextIsLeast(t *testing.T) {
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
				c.Backlog(id)
			case 1:
				c.Idle(id)
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

func checkLeast(t *rapid.T, c *Counters) {
	first, ok := c.Next("", anyWorkspace)
	for _, counter := range c.Snapshot() {
		if counter.Backlogged && (!ok || counter.Value < c.Value(first)) {
			t.Fatalf("%d comes before %d", counter.Workspace, first)
		}
	}
}
