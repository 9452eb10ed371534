package deal

import (
	"math"

	"github.com/chiveseam/chiveseam/fairshare"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	// maxFactor bounds the correction of a weight in either direction.
	maxFactor = 4
	// lagSteps is the number of steps in which the correction follows the lag
	// up to the horizon.
	lagSteps = 16
	// lagHysteresis is how far, in steps, the lag must be from the middle of
	// its step for the correction to follow.
	lagHysteresis = 0.75
	// maxLagHorizons bounds how far a shard's level may be from the mean, in
	// horizons. What lies beyond is forgotten.
	maxLagHorizons = 2
)

// levels compares the service of shards. A shard whose backlog begins is lifted
// to the mean of the backlogged ones, as a workspace is in package fairshare.
type levels struct {
	shards map[levelKey]*level
	// means holds the mean level of the backlogged shards by data centre.
	means map[string]float64
	// horizon is Options.Horizon in counter units; zero is not known yet.
	horizon float64
}

type levelKey struct {
	shard      int
	dataCentre string
}

type level struct {
	// offset is added to the level that the shard reports, value is the sum.
	offset, value float64
	known         bool
	backlogged    bool
	step          int
}

func newLevels() levels {
	return levels{shards: map[levelKey]*level{}, means: map[string]float64{}}
}

// forget ends the backlog of a shard whose holder is new.
func (l *levels) forget(shard int) {
	for key, state := range l.shards {
		if key.shard == shard {
			state.backlogged = false
		}
	}
}

// update takes in the reports of the live holders.
func (l *levels) update(reports []Report, horizon float64) {
	l.horizon = pace(reports) * horizon
	seen := map[levelKey]bool{}
	for _, r := range reports {
		for _, b := range r.Backlogs {
			if b.Share > 0 {
				key := levelKey{r.Shard, b.DataCentre}
				seen[key] = true
				l.observe(key, float64(b.Level))
			}
		}
	}
	for key, state := range l.shards {
		if !seen[key] {
			state.backlogged = false
		}
	}
	l.average(reports)
}

// pace returns by how much a counter rises in a second at the mean.
func pace(reports []Report) float64 {
	rate, share := 0.0, 0.0
	for _, r := range reports {
		rate += float64(r.Rate)
		for _, b := range r.Backlogs {
			share += float64(b.Share + b.ActiveShare)
		}
	}
	if share == 0 {
		return 0
	}
	return rate * fairshare.Scale / share
}

func (l *levels) observe(key levelKey, reported float64) {
	state := l.shards[key]
	if state == nil {
		state = &level{}
		l.shards[key] = state
	}
	mean, compared := l.means[key.dataCentre]
	state.value = reported + state.offset
	switch {
	case !compared:
	case !state.known:
		state.value = mean
	case !state.backlogged:
		state.value = min(max(state.value, mean), mean+l.horizon)
	default:
		most := maxLagHorizons * l.horizon
		state.value = min(max(state.value, mean-most), mean+most)
	}
	state.offset = state.value - reported
	state.known = true
	state.backlogged = true
}

// average sets the means.
func (l *levels) average(reports []Report) {
	sums := map[string]float64{}
	shares := map[string]float64{}
	for _, r := range reports {
		for _, b := range r.Backlogs {
			if b.Share == 0 {
				continue
			}
			sums[b.DataCentre] += float64(b.Share) * l.shards[levelKey{r.Shard, b.DataCentre}].value
			shares[b.DataCentre] += float64(b.Share)
		}
	}
	for dataCentre, share := range shares {
		l.means[dataCentre] = sums[dataCentre] / share
	}
}

// lag returns how far the shard is behind the mean, in horizons.
func (l *levels) lag(shard int, b pool.Backlog) float64 {
	state := l.shards[levelKey{shard, b.DataCentre}]
	if state == nil || l.horizon <= 0 {
		return 0
	}
	return (l.means[b.DataCentre] - state.value) / l.horizon
}

// factor returns by what the weight of the shard is corrected.
func (l *levels) factor(shard int, b pool.Backlog) float64 {
	state := l.shards[levelKey{shard, b.DataCentre}]
	if state == nil {
		return 1
	}
	steps := min(max(l.lag(shard, b), -1), 1) * lagSteps
	if math.Abs(steps-float64(state.step)) > lagHysteresis {
		state.step = int(math.Round(steps))
	}
	return math.Pow(maxFactor, float64(state.step)/lagSteps) * l.sideFactor(b.DataCentre)
}

// sideFactor corrects the weight of workspaces that are restricted to one data
// centre by their lag behind those that are not.
func (l *levels) sideFactor(dataCentre string) float64 {
	mean, ok := l.means[dataCentre]
	all, compared := l.means[""]
	if !ok || !compared || l.horizon <= 0 {
		return 1
	}
	return math.Pow(maxFactor, min(max((all-mean)/l.horizon, -1), 1))
}
