package requestkey

import (
	"slices"
	"time"
)

// history is the known revisions of the instance list, in ascending order.
type history struct {
	views []View
	opts  Options
}

// add merges a view. It keeps the first content seen of a revision.
func (h *history) add(v View) {
	i, found := slices.BinarySearchFunc(h.views, v.Revision, compareRevision)
	if !found {
		v.Routers = slices.Clone(v.Routers)
		h.views = slices.Insert(h.views, i, v)
		return
	}
	known := &h.views[i]
	if v.FirstAsOf.Before(known.FirstAsOf) {
		known.FirstAsOf = v.FirstAsOf
	}
	if v.LastAsOf.After(known.LastAsOf) {
		known.LastAsOf = v.LastAsOf
	}
}

func compareRevision(v View, revision uint64) int {
	switch {
	case v.Revision < revision:
		return -1
	case v.Revision > revision:
		return 1
	}
	return 0
}

func (h *history) newest() (View, bool) {
	if len(h.views) == 0 {
		return View{}, false
	}
	return h.views[len(h.views)-1], true
}

func (h *history) find(revision uint64) (View, bool) {
	i, found := slices.BinarySearchFunc(h.views, revision, compareRevision)
	if !found {
		return View{}, false
	}
	return h.views[i], true
}

// end returns the time after which no owner of a revision below that of
// views[next] has the right to begin a key.
func (h *history) end(next int) time.Time {
	return h.views[next].FirstAsOf.Add(h.opts.Right)
}

// unknownEnd returns the time after which no owner of an unknown revision has
// the right to begin a key.
func (h *history) unknownEnd() time.Time {
	end := h.end(0)
	for i := 1; i < len(h.views); i++ {
		consecutive := h.views[i].Revision == h.views[i-1].Revision+1
		if !consecutive {
			end = h.end(i)
		}
	}
	return end
}

// tenure is one revision's owner of a key.
type tenure struct {
	owner    Member
	revision uint64
	end      time.Time
}

// tenures returns the owners of a key under all known revisions but the newest,
// without self.
func (h *history) tenures(id ID, self Member) []tenure {
	var result []tenure
	for i := 0; i+1 < len(h.views); i++ {
		owner, ok := ownerOf(h.views[i].Routers, id, "")
		if !ok || owner == self {
			continue
		}
		end := h.end(i + 1)
		if replaced, ok := h.replacedAt(owner); ok && replaced.Before(end) {
			end = replaced
		}
		result = append(result, tenure{owner: owner, revision: h.views[i].Revision, end: end})
	}
	return result
}

// replacedAt returns the earliest time at which a later incarnation of m was
// listed.
func (h *history) replacedAt(m Member) (time.Time, bool) {
	var at time.Time
	found := false
	for _, v := range h.views {
		for _, other := range v.Routers {
			if other.Name != m.Name || other.Incarnation <= m.Incarnation {
				continue
			}
			if !found || v.FirstAsOf.Before(at) {
				at, found = v.FirstAsOf, true
			}
		}
	}
	return at, found
}

// prune forgets the revisions whose owners' keys are out of memory.
func (h *history) prune(now time.Time) {
	drop := 0
	for drop+1 < len(h.views) && h.forgotten(h.end(drop+1), now) {
		drop++
	}
	h.views = slices.Delete(h.views, 0, drop)
}

// forgotten reports whether every key begun before end is out of memory.
func (h *history) forgotten(end, now time.Time) bool {
	return now.After(end.Add(h.opts.Lifetime + 2*h.opts.ClockError))
}

// over reports whether no key that was begun before end concerns the key.
func (h *history) over(end, now time.Time, id ID) bool {
	if h.forgotten(end, now) {
		return true
	}
	born, ok := BornAt(id.Key)
	if !ok || born.After(now.Add(2*h.opts.ClockError)) {
		return false
	}
	return born.After(end.Add(2 * h.opts.ClockError))
}
