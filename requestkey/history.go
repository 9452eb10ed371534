package requestkey

import (
	"slices"
	"time"
)

// history holds the known revisions of the instance list, in ascending order.
type history struct {
	views []View
	opts  Options
}

// add merges a view. If the revision is known, only FirstAsOf and LastAsOf are widened, and
// the routers seen first are kept.
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

// rightEnd returns the time after which no owner under a revision below that of views[next]
// has the right to begin a key.
func (h *history) rightEnd(next int) time.Time {
	return h.views[next].FirstAsOf.Add(h.opts.Right)
}

// unknownRevisionsEnd returns the time after which no owner under an unknown revision has the
// right to begin a key. Unknown revisions lie before the first known one or in gaps. At least
// one revision must be known.
func (h *history) unknownRevisionsEnd() time.Time {
	end := h.rightEnd(0)
	for i := 1; i < len(h.views); i++ {
		consecutive := h.views[i].Revision == h.views[i-1].Revision+1
		if !consecutive {
			end = h.rightEnd(i)
		}
	}
	return end
}

// ownership is the right of a router to begin a key under one revision, up to end.
type ownership struct {
	owner    Member
	revision uint64
	end      time.Time
}

// earlierOwnerships returns the ownerships of a key under all known revisions except the
// newest, without those of self. An ownership ends earlier if a later incarnation of its owner
// was listed before its end.
func (h *history) earlierOwnerships(id ID, self Member) []ownership {
	var result []ownership
	for i := 0; i+1 < len(h.views); i++ {
		owner, ok := ownerOf(h.views[i].Routers, id, "")
		if !ok || owner == self {
			continue
		}
		end := h.rightEnd(i + 1)
		if replaced, ok := h.replacedAt(owner); ok && replaced.Before(end) {
			end = replaced
		}
		result = append(result, ownership{owner: owner, revision: h.views[i].Revision, end: end})
	}
	return result
}

// replacedAt returns the earliest known time at which a later incarnation of m was listed.
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

// prune deletes the oldest revisions, as far as all keys begun under them have expired.
func (h *history) prune(now time.Time) {
	drop := 0
	for drop+1 < len(h.views) && h.expired(h.rightEnd(drop+1), now) {
		drop++
	}
	h.views = slices.Delete(h.views, 0, drop)
}

// expired reports whether every key begun before end has expired, whatever the clock error.
func (h *history) expired(end, now time.Time) bool {
	return now.After(end.Add(h.opts.Lifetime + 2*h.opts.ClockError))
}

// expiredFor reports whether the key cannot have been begun before end within the last
// Options.Lifetime: all keys begun before end have expired, or this key was made later.
func (h *history) expiredFor(end, now time.Time, id ID) bool {
	if h.expired(end, now) {
		return true
	}
	created, ok := CreatedAt(id.Key)
	if !ok || created.After(now.Add(2*h.opts.ClockError)) {
		return false
	}
	return created.After(end.Add(2 * h.opts.ClockError))
}
