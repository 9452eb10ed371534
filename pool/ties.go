package pool

import "slices"

// takenPart is the part of the tied demands withdrawn in an exchange interval
// that wait in each region beside Options.Ties, so that a region does not run
// out of them while a grant and the next tied demand are on their way.
const takenPart = 10

// remoteRegion is another region in which waiting demands may wait as well.
type remoteRegion struct {
	Region
	// free is the number of free slots that the region told last.
	free int
}

// serves tells whether the region has targets for the workspace.
func (r *remoteRegion) serves(w *workspace) bool {
	if w.DataCentre == anyDataCentre {
		return len(r.DataCentres) > 0
	}
	return slices.Contains(r.DataCentres, w.DataCentre)
}

// setRegions replaces the regions that can be reached. The tied demands in
// regions that are left out are lost.
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
		w.takenBefore, w.taken = w.taken, 0
	}
	s.changeAll()
}

func (s *Scheduler) forgetTies(region string) {
	for _, w := range s.workspaces {
		delete(w.tied, region)
		for _, d := range w.waiting() {
			d.ties = slices.DeleteFunc(d.ties, func(name string) bool { return name == region })
		}
	}
}

// changed notes a workspace whose queue or tied demands changed in this step.
func (s *Scheduler) changed(w *workspace) {
	if len(s.remotes) == 0 || w.changed {
		return
	}
	w.changed = true
	s.untied = append(s.untied, w)
}

func (s *Scheduler) changeAll() {
	for _, w := range s.sortedWorkspaces() {
		s.changed(w)
	}
}

// tieWaiting lets the first waiting demands of the workspaces that changed wait
// in other regions as well.
func (s *Scheduler) tieWaiting() {
	for _, w := range s.untied {
		w.changed = false
		for _, r := range s.remotes {
			s.tieTo(w, r)
		}
	}
	s.untied = s.untied[:0]
}

func (s *Scheduler) tieTo(w *workspace, r *remoteRegion) {
	if w.queued == w.tied[r.Name] || !r.serves(w) {
		return
	}
	limit := s.options.Ties + r.free + max(w.taken, w.takenBefore)/takenPart
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

// firstUntied returns the first waiting demand of w that is not tied to one
// in the region and did not come from another, or nil.
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
