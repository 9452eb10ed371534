package measure

import "time"

// meter integrates the service of workspaces and the use of slots over virtual time.
type meter struct {
	deployment *Deployment
	// now is the time up to which service and use are integrated.
	now time.Duration
	// served holds the cost units delivered to each workspace, and rate those that it
	// receives in a second at present.
	served []float64
	rate   []float64
	// waiting holds the number of requests of each workspace that wait for a grant, and
	// totalWaiting their sum.
	waiting      []int
	totalWaiting int
	// busySlots is the number of slots in use.
	busySlots int
	gaps      *gapMeter
	// gapInterval is the least time between two observations of the gaps, and
	// nextGapTime the time from which on the next is made.
	gapInterval, nextGapTime time.Duration

	// from is the time of the last reset.
	from time.Duration
	// busySeconds and slotSeconds integrate the busy slots and all slots over the time
	// in which requests wait.
	busySeconds float64
	slotSeconds float64

	// engineQueued is the number of requests now in the queues of full engines, and
	// maxEngineQueued its maximum. overAdmitted is the number of requests that were sent to
	// a full engine since the start of the run.
	engineQueued    int
	maxEngineQueued int
	overAdmitted    int
	// reports, grants and lost count progress reports, grants, and requests that ended
	// because their target became unreachable.
	reports int
	grants  int
	lost    int

	// waitTimes holds the times in seconds between arrival and grant, by workspace.
	// refusals counts refused requests, by workspace.
	waitTimes []samples
	refusals  []int
	// lastProgress is the time of the workspace's last grant, or the time at which a
	// request began to wait when none waited before. starvation is the longest time that
	// a workspace with waiting requests was without a grant.
	lastProgress []time.Duration
	starvation   time.Duration
}

func newMeter(d *Deployment) *meter {
	n := len(d.Workspaces)
	return &meter{
		deployment:   d,
		served:       make([]float64, n),
		rate:         make([]float64, n),
		waiting:      make([]int, n),
		gaps:         newGapMeter(d),
		waitTimes:    make([]samples, n),
		refusals:     make([]int, n),
		lastProgress: make([]time.Duration, n),
	}
}

// reset starts the results anew, except for the served cost, the queues in engines and the
// number of lost requests.
func (m *meter) reset(now time.Duration) {
	m.advance(now)
	m.from = now
	m.busySeconds = 0
	m.slotSeconds = 0
	m.gaps = newGapMeter(m.deployment)
	m.starvation = 0
	m.reports = 0
	m.grants = 0
	for i := range m.waitTimes {
		m.waitTimes[i] = nil
		m.refusals[i] = 0
		m.lastProgress[i] = now
	}
}

// advance integrates up to now at the current rates. It is called before each change of
// rates, busy slots or waiting requests.
func (m *meter) advance(now time.Duration) {
	if now <= m.now {
		return
	}
	elapsed := (now - m.now).Seconds()
	m.now = now
	for i, rate := range m.rate {
		m.served[i] += rate * elapsed
	}
	if m.totalWaiting > 0 {
		m.busySeconds += float64(m.busySlots) * elapsed
		m.slotSeconds += float64(m.deployment.slots()) * elapsed
	}
	if now >= m.nextGapTime {
		m.gaps.observe(m.served, m.waiting)
		m.nextGapTime = now + m.gapInterval
	}
}

// changeService records that a slot starts (sign +1) or stops (-1) serving a workspace.
// The rate is in cost units a second.
func (m *meter) changeService(workspace, sign int, rate float64) {
	m.busySlots += sign
	m.rate[workspace] += float64(sign) * rate
}

// changeWaiting records that a request starts (sign +1) or stops (-1) waiting for a grant.
func (m *meter) changeWaiting(workspace, sign int) {
	if m.waiting[workspace] == 0 {
		m.lastProgress[workspace] = m.now
	}
	m.waiting[workspace] += sign
	m.totalWaiting += sign
	if m.waiting[workspace] == 0 {
		m.recordProgress(workspace)
	}
}

// recordGrant records a grant and the time that the request has waited for it.
func (m *meter) recordGrant(q *request, now time.Duration) {
	m.grants++
	m.waitTimes[q.workspace] = append(m.waitTimes[q.workspace], (now - q.arrivedAt).Seconds())
	m.recordProgress(q.workspace)
	m.changeWaiting(q.workspace, -1)
}

// grantsFrom returns the number of grants to the workspaces from the index first on.
func (m *meter) grantsFrom(first int) int {
	sum := 0
	for _, waits := range m.waitTimes[first:] {
		sum += len(waits)
	}
	return sum
}

func (m *meter) recordRefusal(workspace int) { m.refusals[workspace]++ }

// recordProgress ends the period that a workspace has been without a grant, updates the
// starvation and starts the next period.
func (m *meter) recordProgress(workspace int) {
	m.starvation = max(m.starvation, m.now-m.lastProgress[workspace])
	m.lastProgress[workspace] = m.now
}

// changeEngineQueued records that a request enters (sign +1) or leaves (-1) the queue of a
// full engine.
func (m *meter) changeEngineQueued(sign int) {
	m.engineQueued += sign
	m.maxEngineQueued = max(m.maxEngineQueued, m.engineQueued)
}

// finish integrates up to the end of a run. It counts the time that workspaces with waiting
// requests have been without a grant.
func (m *meter) finish(now time.Duration) {
	m.advance(now)
	for i, waiting := range m.waiting {
		if waiting > 0 {
			m.recordProgress(i)
		}
	}
}

// utilisation returns the busy fraction of the slots over the time in which requests wait.
func (m *meter) utilisation() float64 {
	if m.slotSeconds == 0 {
		return 1
	}
	return m.busySeconds / m.slotSeconds
}
