package pool

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
)

// demand is a waiting or granted demand. Its timer is the deadline while it
// waits, and the end of its hold on the slot once granted.
type demand struct {
	timer
	id        DemandID
	router    *router
	workspace *workspace
	estimate  int64
	prefix    uint32
	bytes     int64
	deadline  time.Time
	// order is the order of arrival among equal deadlines.
	order uint64
	// moved is set for a demand from another region.
	moved bool
	// digest identifies the content; zero means that copies are not bounded.
	digest uint32
	// exclude is sorted.
	exclude []config.ID
	// held is set while an equal request has no answer yet.
	held bool
	// asked is set once the router was asked for the first byte.
	asked bool
	// ties names the regions in which the demand waits as well.
	ties []string
	// class is set while the demand waits.
	class *class

	// target is set once the demand is granted.
	target    *target
	charge    fairshare.Charge
	grantedAt time.Time
	// prediction is what charge follows between reports.
	prediction Prediction
	// running is the index in predictor.running plus one; zero is absent.
	running int
	// seenAt is the time of the last sign of the granted demand.
	seenAt time.Time
	// joined is set while RouterJoined reconciles grants.
	joined bool
}

func (d *demand) granted() bool {
	return d.target != nil
}

// before is the order within a workspace: earliest deadline first.
func (d *demand) before(other *demand) bool {
	if !d.deadline.Equal(other.deadline) {
		return d.deadline.Before(other.deadline)
	}
	return d.order < other.order
}

// class holds the waiting demands of a workspace that may use the same targets.
type class struct {
	zone string
	// exclude is sorted.
	exclude []config.ID
	// queue is sorted by demand.before.
	queue []*demand
}

func (c *class) matches(zone string, exclude []config.ID) bool {
	return c.zone == zone && slices.Equal(c.exclude, exclude)
}

// rank returns the number of demands before d.
func (c *class) rank(d *demand) int {
	low, high := 0, len(c.queue)
	for low < high {
		middle := (low + high) / 2
		if c.queue[middle].before(d) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (c *class) insert(d *demand) {
	c.queue = slices.Insert(c.queue, c.rank(d), d)
}

func (c *class) remove(d *demand) {
	i := c.rank(d)
	if i == 0 {
		c.queue[0] = nil
		c.queue = c.queue[1:]
		return
	}
	c.queue = slices.Delete(c.queue, i, i+1)
}

// workspace is the queue of one workspace.
type workspace struct {
	Workspace
	classes []*class
	queued  int
	// bytes counts the bodies of waiting and held demands.
	bytes int64
	// held counts the demands that wait for the answer to an equal one.
	held int
	// running counts the granted demands.
	running int
	// tied counts the waiting demands that wait in another region as well, by it.
	tied map[string]int
	// taken counts the tied demands that were withdrawn since the last
	// RegionsChanged, takenBefore those between the two before.
	taken, takenBefore int
	// changed is set while the workspace is listed in Scheduler.untied.
	changed bool
}

// class returns the class for zone and exclude, which must be sorted.
func (w *workspace) class(zone string, exclude []config.ID) *class {
	for _, c := range w.classes {
		if c.matches(zone, exclude) {
			return c
		}
	}
	return &class{zone: zone, exclude: exclude}
}

func (w *workspace) push(d *demand, c *class) {
	if len(c.queue) == 0 {
		w.classes = append(w.classes, c)
	}
	c.insert(d)
	d.class = c
	w.queued++
	w.bytes += d.bytes
}

func (w *workspace) remove(d *demand) {
	c := d.class
	c.remove(d)
	d.class = nil
	w.queued--
	w.bytes -= d.bytes
	for _, region := range d.ties {
		w.tied[region]--
	}
	if len(c.queue) > 0 {
		return
	}
	i := slices.Index(w.classes, c)
	w.classes = slices.Delete(w.classes, i, i+1)
}

// full tells whether a demand of the given size exceeds the bounds.
func (w *workspace) full(bytes int64) bool {
	return w.queued+w.held >= w.MaxQueued || w.bytes+bytes > w.MaxQueuedBytes
}

// rank returns the number of waiting demands before d.
func (w *workspace) rank(d *demand) int {
	rank := 0
	for _, c := range w.classes {
		rank += c.rank(d)
	}
	return rank
}

// waiting returns all waiting demands.
func (w *workspace) waiting() []*demand {
	var demands []*demand
	for _, c := range w.classes {
		demands = append(demands, c.queue...)
	}
	return demands
}
