package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// ListSnapshot describes one revision of the instance list and when it was in force.
type ListSnapshot struct {
	Revision uint64
	// AsOf is the time, by the platform's clock, at which the list was correct.
	AsOf time.Time
	// Published is the time, by the platform's clock, at which the revision was published. It
	// is the zero Unix time if that is not known.
	Published time.Time
	// Adopted is the time, by the router's clock, at which the list came into force at this
	// router.
	Adopted time.Time
	// Superseded is the time, by the router's clock, at which a newer list replaced this one.
	// It is zero for the list in force.
	Superseded time.Time
	// Routers maps the names of the live routers in the list to their incarnations.
	Routers map[string]uint64

	instances map[string]*v1.Instance
}

// ApplyList puts an instance list from the platform in force. It returns false for a list whose
// revision is not higher than the one in force. Of such a list only the leaving marks are used.
func (v *View) ApplyList(now time.Time, list *v1.InstanceList) bool {
	return v.applyList(now, list, "")
}

// ListRevision returns the revision of the list in force, zero before the first.
func (v *View) ListRevision() uint64 {
	return v.list.Revision
}

// ListAsOf returns the time, by the platform's clock, at which the list in force was correct.
// It returns false before the first list.
func (v *View) ListAsOf() (time.Time, bool) {
	return time.UnixMilli(v.list.AsOfUnixMs), v.list.Revision > 0
}

// History returns the lists that were in force at this router at since or later, oldest first.
// It starts with the first list after the router's start and covers HistoryRetention;
// HistoryCovers reports whether it reaches back to a given time.
func (v *View) History(since time.Time) []ListSnapshot {
	var snapshots []ListSnapshot
	for _, l := range v.history {
		if l.Superseded.IsZero() || !l.Superseded.Before(since) {
			snapshots = append(snapshots, l)
		}
	}
	return snapshots
}

// HistoryCovers reports whether History is complete from since on: a list was in force at that
// time and is still in the history.
func (v *View) HistoryCovers(since time.Time) bool {
	return len(v.history) > 0 && !v.history[0].Adopted.After(since)
}

// applyList puts a list in force if its revision is higher. from is the router that sent the
// list, empty for the platform.
func (v *View) applyList(now time.Time, list *v1.InstanceList, from string) bool {
	for _, instance := range list.Instances {
		if instance.State == v1.InstanceState_LEAVING {
			v.markLeaving(now, instance.Name, instance.Incarnation, from)
		}
	}
	if list.Revision <= v.list.Revision {
		return false
	}
	previous := v.listed
	v.list = list
	v.listed = map[string]*v1.Instance{}
	for _, instance := range list.Instances {
		if known := v.listed[instance.Name]; known == nil || known.Incarnation < instance.Incarnation {
			v.listed[instance.Name] = instance
		}
	}
	v.keepRunningUnlisted(now, previous)
	v.dropCaughtUp()
	v.resetRestarted(previous)
	v.recordHistory(now)
	v.refreshRings()
	return true
}

// resetRestarted drops the contact state of the routers whose incarnation grew with a new list.
func (v *View) resetRestarted(previous map[string]*v1.Instance) {
	for name, instance := range v.listed {
		if before := previous[name]; before != nil && before.Incarnation < instance.Incarnation {
			v.resetPeer(instance)
		}
	}
}

// recordHistory appends the list in force to the history and drops lists that are too old or
// too many.
func (v *View) recordHistory(now time.Time) {
	if n := len(v.history); n > 0 {
		v.history[n-1].Superseded = now
	}
	routers := map[string]uint64{}
	for name, instance := range v.listed {
		if !instance.IsTarget && instance.State == v1.InstanceState_LIVE {
			routers[name] = instance.Incarnation
		}
	}
	v.history = append(v.history, ListSnapshot{
		Revision:  v.list.Revision,
		AsOf:      time.UnixMilli(v.list.AsOfUnixMs),
		Published: time.UnixMilli(v.list.PublishedUnixMs),
		Adopted:   now,
		Routers:   routers,
		instances: v.listed,
	})
	v.history = slices.DeleteFunc(v.history, func(l ListSnapshot) bool {
		return !l.Superseded.IsZero() && now.Sub(l.Superseded) > v.opts.HistoryRetention
	})
	v.history = v.history[max(0, len(v.history)-maxHistory):]
}

// writeList adds the list in force to a message for a router that has the list revision base:
// the differences if base is in the history, else the whole list.
func (v *View) writeList(state *v1.PeerState, base uint64) {
	if base >= v.list.Revision {
		return
	}
	i := slices.IndexFunc(v.history, func(l ListSnapshot) bool { return l.Revision == base })
	if i < 0 {
		state.Instances = slices.Collect(maps.Values(v.listed))
		sortInstances(state.Instances)
		return
	}
	old := v.history[i].instances
	state.ListBaseRevision = base
	for name, instance := range v.listed {
		if !proto.Equal(old[name], instance) {
			state.Instances = append(state.Instances, instance)
		}
	}
	for name := range old {
		if v.listed[name] == nil {
			state.RemovedInstances = append(state.RemovedInstances, name)
		}
	}
	sortInstances(state.Instances)
	slices.Sort(state.RemovedInstances)
}

// mergeList applies the list in another router's message if it is newer. It ignores differences
// to a revision other than the one in force. It returns whether a newer list came into force.
func (v *View) mergeList(now time.Time, state *v1.PeerState) bool {
	if state.ListRevision <= v.list.Revision {
		return false
	}
	carriesList := len(state.Instances) > 0 || state.ListBaseRevision > 0
	if !carriesList {
		return false
	}
	list := &v1.InstanceList{
		Revision:        state.ListRevision,
		AsOfUnixMs:      state.ListAsOfUnixMs,
		PublishedUnixMs: state.ListPublishedUnixMs,
	}
	if state.ListBaseRevision == 0 {
		list.Instances = state.Instances
		return v.applyList(now, list, state.Router)
	}
	if state.ListBaseRevision != v.list.Revision {
		return false
	}
	instances := maps.Clone(v.listed)
	for _, name := range state.RemovedInstances {
		delete(instances, name)
	}
	for _, instance := range state.Instances {
		instances[instance.Name] = instance
	}
	list.Instances = slices.Collect(maps.Values(instances))
	sortInstances(list.Instances)
	return v.applyList(now, list, state.Router)
}

func sortInstances(instances []*v1.Instance) {
	slices.SortFunc(instances, func(a, b *v1.Instance) int { return strings.Compare(a.Name, b.Name) })
}
