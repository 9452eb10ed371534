package pool

import "slices"

// takenPart is the part of the copies withdrawn in an exchange interval that
// wait in each region beside Options.Copies, so that a region does not run out
// of them while a grant and the next copy are on their way.
const takenPart = 10

// remoteRegion is another region whose scheduler of the same pool takes copies
// of waiting demands.
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

// setRegions replaces the regions that can be reached. The copies in regions
// that are left out are lost.
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
		s.forgetCopies(lost.Name)
	}
	for _, w := range s.workspaces {
		w.takenBefore, w.taken = w.taken, 0
	}
	s.changeAll()
}

func (s *Scheduler) forgetCopies(region string) {
	for _, w := range s.workspaces {
		delete(w.copied, region)
		for _, d := range w.waiting() {
			d.copies = slices.DeleteFunc(d.copies, func(name string) bool { return name == region })
		}
	}
}

// changed notes a workspace whose queue or copies changed in this step.
func (s *Scheduler) changed(w *workspace) {
	if len(s.remotes) == 0 || w.changed {
		return
	}
	w.changed = true
	s.uncopied = append(s.uncopied, w)
}

func (s *Scheduler) changeAll() {
	for _, w := range s.sortedWorkspaces() {
		s.changed(w)
	}
}

// copyWaiting sends copies of the first waiting demands of the workspaces that
// changed.
func (s *Scheduler) copyWaiting() {
	for _, w := range s.uncopied {
		w.changed = false
		for _, r := range s.remotes {
			s.copyTo(w, r)
		}
	}
	s.uncopied = s.uncopied[:0]
}

func (s *Scheduler) copyTo(w *workspace, r *remoteRegion) {
	if w.queued == w.copied[r.Name] || !r.serves(w) {
		return
	}
	limit := s.options.Copies + r.free + max(w.taken, w.takenBefore)/takenPart
	for w.copied[r.Name] < limit {
		d := w.firstUncopied(r.Name)
		if d == nil {
			return
		}
		d.copies = append(d.copies, r.Name)
		w.copied[r.Name]++
		s.emit(Copy{ID: d.id, Region: r.Name})
	}
}

// firstUncopied returns the first waiting demand of w that has no copy in the
// region and is no copy itself, or nil.
func (w *workspace) firstUncopied(region string) *demand {
	var first *demand
	for _, c := range w.classes {
		i := slices.IndexFunc(c.queue, func(d *demand) bool {
			return !d.moved && !slices.Contains(d.copies, region)
		})
		if i >= 0 && (first == nil || c.queue[i].before(first)) {
			first = c.queue[i]
		}
	}
	return first
}
