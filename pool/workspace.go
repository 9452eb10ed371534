package pool

import (
	"cmp"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// setWorkspaces replaces the settings of all workspaces. The waiting demands of
// workspaces that are not among them are refused.
func (s *Scheduler) setWorkspaces(workspaces []Workspace) {
	listed := make(map[config.ID]bool, len(workspaces))
	for _, w := range workspaces {
		listed[w.ID] = true
		s.configureWorkspace(w)
	}
	for _, w := range s.sortedWorkspaces() {
		if !listed[w.ID] {
			s.removeWorkspace(w)
		}
	}
	for _, t := range s.sortedTargets() {
		s.markForDispatch(t)
	}
}

// configureWorkspace adds a workspace or changes its settings.
func (s *Scheduler) configureWorkspace(settings Workspace) {
	if settings.MaxQueued <= 0 {
		settings.MaxQueued = defaultMaxQueued
	}
	if settings.MaxQueuedBytes <= 0 {
		settings.MaxQueuedBytes = defaultMaxQueuedBytes
	}
	w := s.workspaces[settings.ID]
	if w == nil {
		w = &workspace{tied: map[string]int{}}
		s.workspaces[settings.ID] = w
	}
	w.Workspace = settings
	s.counters.Configure(w.ID, w.Share, w.DataCentre)
}

func (s *Scheduler) removeWorkspace(w *workspace) {
	for _, d := range w.waiting() {
		s.refuse(d, v1.Code_NOT_ALLOWED, 0)
	}
	s.counters.Remove(w.ID)
	delete(s.workspaces, w.ID)
}

// refuseUnservable refuses waiting demands that no target may serve.
func (s *Scheduler) refuseUnservable() {
	for _, w := range s.sortedWorkspaces() {
		for _, c := range slices.Clone(w.classes) {
			if s.servable(w, c.exclude) {
				continue
			}
			for _, d := range slices.Clone(c.queue) {
				s.refuse(d, v1.Code_NO_TARGET, s.retryAfter(d))
			}
		}
	}
}

func (s *Scheduler) sortedWorkspaces() []*workspace {
	workspaces := make([]*workspace, 0, len(s.workspaces))
	for _, w := range s.workspaces {
		workspaces = append(workspaces, w)
	}
	slices.SortFunc(workspaces, func(a, b *workspace) int { return cmp.Compare(a.ID, b.ID) })
	return workspaces
}

// workspaceOf returns the state of a workspace for a demand in flight. For an
// unknown workspace it returns a state that is not added to s.workspaces.
func (s *Scheduler) workspaceOf(id config.ID) *workspace {
	if w := s.workspaces[id]; w != nil {
		return w
	}
	return &workspace{Workspace: Workspace{ID: id}}
}

// handlePeerCounters merges the counters of another region's scheduler and, if the
// message is not an old one, takes over its number of free slots.
func (s *Scheduler) handlePeerCounters(e PeerCounters) {
	fresh := s.counters.MergeRegion(fairshare.RegionCounters{
		Region:   e.Region,
		Epoch:    e.Epoch,
		Version:  e.Version,
		Counters: fromCounters(e.Counters),
	})
	for _, r := range s.remotes {
		if fresh && r.Name == e.Region {
			r.free = e.FreeSlots
		}
	}
	s.markAllForTies()
}

func fromCounters(counters []Counter) []fairshare.Counter {
	converted := make([]fairshare.Counter, len(counters))
	for i, c := range counters {
		converted[i] = fairshare.Counter(c)
	}
	return converted
}

func toCounters(counters []fairshare.Counter) []Counter {
	converted := make([]Counter, len(counters))
	for i, c := range counters {
		converted[i] = Counter(c)
	}
	return converted
}
