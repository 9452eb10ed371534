package placement

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// Overview is one router's view of the shares of all workspaces and of what they use.
type Overview struct {
	// Scarce is set while the workspaces ask for more than the capacity of the targets.
	Scarce bool
	// AvailableThroughput is the part of the engines' throughput that is available, from 0 to 1, and
	// Capacity what the workspaces share of it, in tokens per second.
	AvailableThroughput, Capacity float64
	// Share is the share of each workspace, Asked the cost of all requests that came from
	// callers, and Begun the cost of those that were sent to targets. All are in tokens per
	// second, averaged over the share window.
	Share, Asked, Begun float64
	// LeastRefusedUse is the least use, in multiples of the share, among workspaces of which
	// many requests are refused; infinite if there is none.
	LeastRefusedUse float64
	// Workspaces is sorted by Asked in descending order, then by name.
	Workspaces []WorkspaceShare
}

// WorkspaceShare holds the cost of one workspace's requests, and of those that were sent to
// targets.
type WorkspaceShare struct {
	// Name is the workspace's name. If this router has had no request of the workspace, it
	// is the hexadecimal Hash of the name, the only form in which the reports of other
	// routers name it.
	Name string
	// Asked and Begun are costs in tokens per second, as in Overview.
	Asked, Begun float64
}

// Overview returns the router's view of the shares at now, for logs and metrics.
func (b *Balancer) Overview(now time.Time) Overview {
	s := b.shares
	s.advance(now)
	s.compute(now)
	o := Overview{
		Scarce: s.scarce, AvailableThroughput: s.available, Capacity: s.available * s.fullCapacity(), Share: s.share,
		LeastRefusedUse: math.Inf(1),
	}
	if s.scarce {
		o.LeastRefusedUse = s.leastRefusedUse
	}
	seconds := s.window.Seconds()
	for hash, u := range s.byHash {
		w := WorkspaceShare{Name: u.name, Asked: sumBuckets(&u.asked) / seconds, Begun: sumBuckets(&u.begun) / seconds}
		if w.Name == "" {
			w.Name = strconv.FormatUint(uint64(hash), 16)
		}
		o.Asked += w.Asked
		o.Begun += w.Begun
		o.Workspaces = append(o.Workspaces, w)
	}
	slices.SortFunc(o.Workspaces, func(a, b WorkspaceShare) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Name, b.Name))
	})
	return o
}
