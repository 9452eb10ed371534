package load

// gapTracker follows the service gap between the backlogged workspaces of one
// pool: the largest difference, over any two of them and any interval, of the
// service delivered in the interval, each divided by its share in relation to
// the mean share.
type gapTracker struct {
	flows   []*flow
	weights []float64
	// minDifference and maxDifference bound, for each pair of flows, the difference of their
	// weighted service since the start.
	minDifference, maxDifference [][]float64
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
		tracker.initWeights()
	}
	return trackers
}

func (t *gapTracker) initWeights() {
	sum := 0.0
	for _, f := range t.flows {
		sum += f.share()
	}
	mean := sum / float64(len(t.flows))
	for _, f := range t.flows {
		t.weights = append(t.weights, f.share()/mean)
	}
	t.minDifference = t.differences()
	t.maxDifference = t.differences()
}

// differences returns the present difference for each pair of flows.
func (t *gapTracker) differences() [][]float64 {
	service := make([]float64, len(t.flows))
	for i, f := range t.flows {
		service[i] = float64(f.deliveredCost.Load()) / t.weights[i]
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
			t.minDifference[i][j] = min(t.minDifference[i][j], difference)
			t.maxDifference[i][j] = max(t.maxDifference[i][j], difference)
		}
	}
}

// maxGap returns the maxGap gap in cost units.
func (t *gapTracker) maxGap() float64 {
	gap := 0.0
	for i, row := range t.maxDifference {
		for j, high := range row {
			gap = max(gap, high-t.minDifference[i][j])
		}
	}
	return gap
}
