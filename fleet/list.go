package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// ListView is the routers of one revision of the instance list.
type ListView struct {
	Revision uint64
	// AsOf is the platform's time at which the list was true.
	AsOf time.Time
	// Published is the platform's time of publication, the zero Unix time if it
	// is not known.
	Published time.Time
	// Adopted is the router's time at which the list came into force here.
	Adopted time.Time
	// Superseded is the router's time at which a newer list came into force;
	// it is zero for the list in force.
	Superseded time.Time
	// Routers are the names and incarnations of the live routers in the list.
	Routers map[string]uint64

	instances map[string]*v1.Instance
}

// ApplyList takes a list of the platform into force. It returns false for a
// list whose revision is not above that in force, which is ignored but for its
// leaving marks.
func (v *View) ApplyList(now time.Time, list *v1.InstanceList) bool {
	return v.applyList(now, list, "")
}

// ListRevision returns the revision of the list in force, zero without any.
func (v *View) ListRevision() uint64 {
	return v.list.Revision
}

// ListAsOf returns the platform's time of the list in force. It returns false
// when there is none.
func (v *View) ListAsOf() (time.Time, bool) {
	return time.UnixMilli(v.list.AsOfUnixMs), v.list.Revision > 0
}

// History returns the lists that were in force here at since or later, oldest
// first. Its reach is bounded by HistoryRetention, and it starts with the first
// list after the router's start: see HistoryCovers.
func (v *View) History(since time.Time) []ListView {
	var views []ListView
	for _, l := range v.history {
		if l.Superseded.IsZero() || !l.Superseded.Before(since) {
			views = append(views, l)
		}
	}
	return views
}

// HistoryCovers returns whether a list has been in force here throughout the
// time from since on and is still remembered.
func (v *View) HistoryCovers(since time.Time) bool {
	return len(v.history) > 0 && !v.history[0].Adopted.After(since)
}

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
	v.keepDropped(now, previous)
	v.dropListed()
	v.resetRestarted(previous)
	v.remember(now)
	v.refreshRings()
	return true
}

func (v *View) resetRestarted(previous map[string]*v1.Instance) {
	for name, instance := range v.listed {
		if before := previous[name]; before != nil && before.Incarnation < instance.Incarnation {
			v.resetPeer(instance)
		}
	}
}

// remember appends the list in force to the history and trims it.
func (v *View) remember(now time.Time) {
	if n := len(v.history); n > 0 {
		v.history[n-1].Superseded = now
	}
	routers := map[string]uint64{}
	for name, instance := range v.listed {
		if !instance.IsTarget && instance.State == v1.InstanceState_LIVE {
			routers[name] = instance.Incarnation
		}
	}
	v.history = append(v.history, ListView{
		Revision:  v.list.Revision,
		AsOf:      time.UnixMilli(v.list.AsOfUnixMs),
		Published: time.UnixMilli(v.list.PublishedUnixMs),
		Adopted:   now,
		Routers:   routers,
		instances: v.listed,
	})
	v.history = slices.DeleteFunc(v.history, func(l ListView) bool {
		return !l.Superseded.IsZero() && now.Sub(l.Superseded) > v.opts.HistoryRetention
	})
	v.history = v.history[max(0, len(v.history)-maxHistory):]
}

// writeList adds what a receiver with the list revision base lacks.
func (v *View) writeList(state *v1.PeerState, base uint64) {
	if base >= v.list.Revision {
		return
	}
	i := slices.IndexFunc(v.history, func(l ListView) bool { return l.Revision == base })
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

// mergeList takes over the list of another router if it is newer.
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
