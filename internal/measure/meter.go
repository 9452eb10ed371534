package measure

import "time"

// meter integrates service and the use of slots over time.
type meter struct {
	deployment *Deployment
	now        time.Duration
	// served and rate are the delivered cost units of each workspace, and
	// those it gets in a second.
	served []float64
	rate   []float64
	// waiting counts the requests that wait for a grant.
	waiting      []int
	totalWaiting int
	busySlots    int
	gaps         *gapMeter
	// gapInterval is the least time between two looks at the gaps, and nextGapTime
	// is when the next is due.
	gapInterval, nextGapTime time.Duration

	// from is the time at which the figures below start.
	from time.Duration
	// busySeconds and slotSeconds count slots while work waits.
	busySeconds float64
	slotSeconds float64

	engineQueued    int
	maxEngineQueued int
	overAdmitted    int
	reports         int
	grants          int
	lost            int

	waitTimes []samples
	refusals  []int
	// lastProgress is the time of the last grant, or of the first waiting request.
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

// reset starts the figures of capacity, gaps, waits and starvation anew.
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

// advance integrates up to now with the present rates.
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

// changeService notes that a slot starts (+1) or ends (-1) to changeService a workspace.
func (m *meter) changeService(workspace, sign int, rate float64) {
	m.busySlots += sign
	m.rate[workspace] += float64(sign) * rate
}

// changeWaiting notes that a request starts (+1) or ends (-1) to wait for a grant.
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

// recordGrant notes the end of a wait by a grant.
func (m *meter) recordGrant(q *request, now time.Duration) {
	m.grants++
	m.waitTimes[q.workspace] = append(m.waitTimes[q.workspace], (now - q.arrivedAt).Seconds())
	m.recordProgress(q.workspace)
	m.changeWaiting(q.workspace, -1)
}

// grantsFrom counts the grants to the workspaces from first on.
func (m *meter) grantsFrom(first int) int {
	sum := 0
	for _, waits := range m.waitTimes[first:] {
		sum += len(waits)
	}
	return sum
}

// recordRefusal notes the end of a wait by a refusal.
func (m *meter) recordRefusal(workspace int) { m.refusals[workspace]++ }

// recordProgress ends a time without a grant.
func (m *meter) recordProgress(workspace int) {
	m.starvation = max(m.starvation, m.now-m.lastProgress[workspace])
	m.lastProgress[workspace] = m.now
}

// changeEngineQueued notes that a request starts (+1) or ends (-1) to wait in a full engine.
func (m *meter) changeEngineQueued(sign int) {
	m.engineQueued += sign
	m.maxEngineQueued = max(m.maxEngineQueued, m.engineQueued)
}

// finish ends the figures at the end of a run.
func (m *meter) finish(now time.Duration) {
	m.advance(now)
	for i, waiting := range m.waiting {
		if waiting > 0 {
			m.recordProgress(i)
		}
	}
}

// utilisation is the busy part of the slots while work waits.
func (m *meter) utilisation() float64 {
	if m.slotSeconds == 0 {
		return 1
	}
	return m.busySeconds / m.slotSeconds
}
