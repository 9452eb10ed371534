package pool

import "slices"

// withdrawnTiesDivisor: in each region, 1/withdrawnTiesDivisor of the number of tied
// demands that were withdrawn in an interval between two RegionsChanged are tied in
// addition to Options.Ties, so that the region does not run out of them while a grant
// and the next tied demand are on their way.
const withdrawnTiesDivisor = 10

// remoteRegion is another region in which waiting demands may be tied.
type remoteRegion struct {
	Region
	// free is the number of free slots that the region reported last.
	free int
}

// serves reports whether the region has targets that the workspace may use.
func (r *remoteRegion) serves(w *workspace) bool {
	if w.DataCentre == anyDataCentre {
		return len(r.DataCentres) > 0
	}
	return slices.Contains(r.DataCentres, w.DataCentre)
}

// setRegions replaces the regions that can be reached. Demands are no longer tied in
// regions that are left out. It also starts a new interval for withdrawnTies.
func (s *Scheduler) setRegions(regions []Region) {
	previous := s.remotes
	s.remotes = nil
	for _, region := range regions {
		r := &remoteRegion{Region: region}
		i := slices.IndexFunc(previous, func(p *remoteRegion) bool { return p.Name == region.Name })
		if i >= 0 {
			r.free = previous[i].free
			previous = slices.Delete(previous, i, i+1)
		}
		s.remotes = append(s.remotes, r)
	}
	for _, lost := range previous {
		s.forgetTies(lost.Name)
	}
	for _, w := range s.workspaces {
		w.withdrawnTiesBefore, w.withdrawnTies = w.withdrawnTies, 0
	}
	s.markAllForTies()
}

// forgetTies drops the record of ties in a region that can no longer be reached.
func (s *Scheduler) forgetTies(region string) {
	for _, w := range s.workspaces {
		delete(w.tied, region)
		for _, d := range w.waiting() {
			d.ties = slices.DeleteFunc(d.ties, func(name string) bool { return name == region })
		}
	}
}

// markForTies notes that the queue or the ties of a workspace changed in this step, so
// that tieWaitingDemands looks at it.
func (s *Scheduler) markForTies(w *workspace) {
	if len(s.remotes) == 0 || w.tieCandidate {
		return
	}
	w.tieCandidate = true
	s.tieCandidates = append(s.tieCandidates, w)
}

func (s *Scheduler) markAllForTies() {
	for _, w := range s.sortedWorkspaces() {
		s.markForTies(w)
	}
}

// tieWaitingDemands ties the first waiting demands of the marked workspaces in the
// other regions.
func (s *Scheduler) tieWaitingDemands() {
	for _, w := range s.tieCandidates {
		w.tieCandidate = false
		for _, r := range s.remotes {
			s.tieToRegion(w, r)
		}
	}
	s.tieCandidates = s.tieCandidates[:0]
}

// tieToRegion ties waiting demands of w in the region, the first ones first, up to the
// limit that Options.Ties describes.
func (s *Scheduler) tieToRegion(w *workspace, r *remoteRegion) {
	if w.queued == w.tied[r.Name] || !r.serves(w) {
		return
	}
	limit := s.options.Ties + r.free + max(w.withdrawnTies, w.withdrawnTiesBefore)/withdrawnTiesDivisor
	for w.tied[r.Name] < limit {
		d := w.firstUntied(r.Name)
		if d == nil {
			return
		}
		d.ties = append(d.ties, r.Name)
		w.tied[r.Name]++
		s.emit(Tie{ID: d.id, Region: r.Name})
	}
}

// firstUntied returns the first waiting demand of w that is not tied in the region and
// did not come from another region, or nil.
func (w *workspace) firstUntied(region string) *demand {
	var first *demand
	for _, c := range w.classes {
		i := slices.IndexFunc(c.queue, func(d *demand) bool {
			return !d.moved && !slices.Contains(d.ties, region)
		})
		if i >= 0 && (first == nil || c.queue[i].before(first)) {
			first = c.queue[i]
		}
	}
	return first
}
