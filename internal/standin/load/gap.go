package load

// gapTracker measures the service gap between the backlogged workspaces of a pool: the
// largest difference between the weighted costs that any two of them received in any one
// interval. The weighted cost of a workspace is the delivered cost divided by its weight,
// and its weight is its share divided by the mean share.
//
// Over an interval, the difference of a pair's weighted costs since the start changes by
// the difference of those received in that interval. The gap of the pair is therefore
// the maximum minus the minimum of the difference since the start.
type gapTracker struct {
	flows   []*flow
	weights []float64
	// minDifference and maxDifference are, for each pair of flows i and j < i, the
	// extremes of the difference of their weighted costs since the start.
	minDifference, maxDifference [][]float64
}

// newGapTrackers returns a tracker for each pool with backlogged workspaces, by the name
// of the pool.
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

// initWeights computes the weights of the flows and sets the extremes to the current
// differences.
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

// differences returns the current difference of weighted costs for each pair of flows.
func (t *gapTracker) differences() [][]float64 {
	weightedCosts := make([]float64, len(t.flows))
	for i, f := range t.flows {
		weightedCosts[i] = float64(f.deliveredCost.Load()) / t.weights[i]
	}
	rows := make([][]float64, len(t.flows))
	for i := range rows {
		rows[i] = make([]float64, i)
		for j := range rows[i] {
			rows[i][j] = weightedCosts[i] - weightedCosts[j]
		}
	}
	return rows
}

// sample updates the extremes with the current differences.
func (t *gapTracker) sample() {
	for i, row := range t.differences() {
		for j, difference := range row {
			t.minDifference[i][j] = min(t.minDifference[i][j], difference)
			t.maxDifference[i][j] = max(t.maxDifference[i][j], difference)
		}
	}
}

// maxGap returns the largest gap so far in cost units.
func (t *gapTracker) maxGap() float64 {
	gap := 0.0
	for i, row := range t.maxDifference {
		for j, high := range row {
			gap = max(gap, high-t.minDifference[i][j])
		}
	}
	return gap
}
