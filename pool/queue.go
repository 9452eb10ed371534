package pool

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
)

// demand is a demand that is held, waits in a queue or is granted. Its timer is the
// deadline until it is granted. From then on the timer is the time at which the
// slot is freed unless the router reports before.
type demand struct {
	timer
	id        DemandID
	router    *router
	workspace *workspace
	estimate  int64
	prefix    uint32
	bytes     int64
	deadline  time.Time
	// arrival orders demands with equal deadlines by their arrival.
	arrival uint64
	// moved is Demand.Moved.
	moved bool
	// digest is Demand.Digest; zero means that copies are not limited.
	digest uint32
	// exclude is sorted.
	exclude []config.ID
	// held is set while the demand waits because a copy of it has no answer yet.
	// It is then not in its workspace's queue.
	held bool
	// firstByteAsked is set once AskFirstByte was sent for the demand.
	firstByteAsked bool
	// ties names the other regions in which the demand waits as well.
	ties []string
	// class is set while the demand is in its workspace's queue.
	class *class

	// target is set once the demand is granted.
	target    *target
	charge    fairshare.Charge
	grantedAt time.Time
	// prediction gives the cost to charge between reports.
	prediction Prediction
	// predictorPos is the index in predictor.demands plus one, or zero if the
	// demand is not in it.
	predictorPos int
	// lastSeenAt is the time of the grant or of the last report about the granted
	// demand.
	lastSeenAt time.Time
	// reconciled is set, while reconcile runs, on the demands that the router
	// reported.
	reconciled bool
}

func (d *demand) granted() bool {
	return d.target != nil
}

// before orders the demands of a workspace: earliest deadline first, then earliest
// arrival.
func (d *demand) before(other *demand) bool {
	if !d.deadline.Equal(other.deadline) {
		return d.deadline.Before(other.deadline)
	}
	return d.arrival < other.arrival
}

// class holds those waiting demands of a workspace that may use the same targets:
// their routers are in the same zone and they exclude the same targets.
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

// rank returns the number of demands in the class before d.
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

// workspace is the state of one workspace: its settings, its queue and its counts.
type workspace struct {
	Workspace
	// classes holds the classes with waiting demands. queued is the number of
	// demands in them.
	classes []*class
	queued  int
	// bytes is the sum of the body sizes of waiting and held demands.
	bytes int64
	// held counts the demands that wait for the answer to a copy.
	held int
	// running counts the granted demands that have not ended.
	running int
	// tied counts the waiting demands that wait in another region as well, by
	// region.
	tied map[string]int
	// withdrawnTies counts the tied demands that were cancelled since the last
	// RegionsChanged, and withdrawnTiesBefore those between that event and the
	// RegionsChanged before it.
	withdrawnTies, withdrawnTiesBefore int
	// tieCandidate is set while the workspace is in Scheduler.tieCandidates.
	tieCandidate bool
}

// class returns the class for zone and exclude, which must be sorted. A new class
// is not added to w; push does that.
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

// exceedsBounds reports whether one more demand with a body of the given size would
// exceed MaxQueued or MaxQueuedBytes.
func (w *workspace) exceedsBounds(bytes int64) bool {
	return w.queued+w.held >= w.MaxQueued || w.bytes+bytes > w.MaxQueuedBytes
}

// rank returns the number of waiting demands of the workspace before d.
func (w *workspace) rank(d *demand) int {
	rank := 0
	for _, c := range w.classes {
		rank += c.rank(d)
	}
	return rank
}

// waiting returns all demands in the queue, grouped by class.
func (w *workspace) waiting() []*demand {
	var demands []*demand
	for _, c := range w.classes {
		demands = append(demands, c.queue...)
	}
	return demands
}
