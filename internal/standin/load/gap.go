package load

// gapTracker follows the service gap between the backlogged workspaces of one
// pool: the largest difference, over any two of them and any interval, of the
// service delivered in the interval, each divided by its share in relation to
// the mean share.
type gapTracker struct {
	flows   []*flow
	weights []float64
	// low and high bound, for each pair of flows, the difference of their
	// weighted service since the start.
	low, high [][]float64
}

// newGapTrackers returns a tracker for each pool with backlogged workspaces.
func newGapTrackers(flows []*flow) map[string]*gapTracker {
	trackers := map[string]*gapTracker{}
	for _, f := range flows {
		if !f.backlogged {
			continue
		}
		tracker := trackers[f.pool.Name]
		if tracker == nil {
			tracker = &gapTracker{}
			trackers[f.pool.Name] = tracker
		}
		tracker.flows = append(tracker.flows, f)
	}
	for _, tracker := range trackers {
		tracker.prepare()
	}
	return trackers
}

func (t *gapTracker) prepare() {
	sum := 0.0
	for _, f := range t.flows {
		sum += f.share()
	}
	mean := sum / float64(len(t.flows))
	for _, f := range t.flows {
		t.weights = append(t.weights, f.share()/mean)
	}
	t.low = t.differences()
	t.high = t.differences()
}

// differences returns the present difference for each pair of flows.
func (t *gapTracker) differences() [][]float64 {
	service := make([]float64, len(t.flows))
	for i, f := range t.flows {
		service[i] = float64(f.delivered.Load()) / t.weights[i]
	}
	rows := make([][]float64, len(t.flows))
	for i := range rows {
		rows[i] = make([]float64, i)
		for j := range rows[i] {
			rows[i][j] = service[i] - service[j]
		}
	}
	return rows
}

// sample takes the present differences into account.
func (t *gapTracker) sample() {
	for i, row := range t.differences() {
		for j, difference := range row {
			t.low[i][j] = min(t.low[i][j], difference)
			t.high[i][j] = max(t.high[i][j], difference)
		}
	}
}

// largest returns the largest gap in cost units.
func (t *gapTracker) largest() float64 {
	gap := 0.0
	for i, row := range t.high {
		for j, high := range row {
			gap = max(gap, high-t.low[i][j])
		}
	}
	return gap
}
