package placement

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// Overview is what a router believes of the shares of all workspaces.
type Overview struct {
	// Scarce is set while the capacity does not meet all demands.
	Scarce bool
	// Level is the share of a workspace, Asked and Begun what all workspaces asked for
	// and began, in tokens a second over the window.
	Level, Asked, Begun float64
	// Least is the least use of a workspace that is refused much; infinite if none is.
	Least float64
	// Workspaces are sorted by what they asked for, the largest first.
	Workspaces []WorkspaceShare
}

// WorkspaceShare is what one workspace asked for and began, in tokens a second over
// the window.
type WorkspaceShare struct {
	// Name is the hexadecimal hash of the name if this router had no request of the
	// workspace.
	Name         string
	Asked, Begun float64
}

// Overview returns the router's view of the shares.
func (b *Book) Overview(now time.Time) Overview {
	s := b.shares
	s.advance(now)
	s.compute(now)
	o := Overview{Scarce: s.scarce, Level: s.level, Least: math.Inf(1)}
	if s.scarce {
		o.Least = s.least
	}
	seconds := s.window.Seconds()
	for hash, u := range s.byHash {
		w := WorkspaceShare{Name: u.name, Asked: sum(&u.asked) / seconds, Begun: sum(&u.begun) / seconds}
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
