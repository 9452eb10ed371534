package deal

import (
	"math"

	"github.com/chiveseam/chiveseam/fairshare"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	// maxFactor bounds the correction of a weight, which lies between 1/maxFactor and
	// maxFactor.
	maxFactor = 4
	// lagSteps is the number of steps in which the correction follows the lag, from zero up to
	// the horizon.
	lagSteps = 16
	// lagHysteresis is how far the lag must be from the present step, in steps, for the
	// correction to follow.
	lagHysteresis = 0.75
	// maxLagHorizons bounds how far the level of a shard may be from the mean, in horizons. Any
	// further lag or lead is forgotten.
	maxLagHorizons = 2
)

// levels compares the service of shards. The level of a shard is the mean counter of its
// backlogged workspaces. A shard whose backlog begins is lifted to the mean level, as a
// workspace is in package fairshare.
type levels struct {
	shards map[levelKey]*level
	// means holds the mean level of the backlogged shards, weighted by share, by data centre.
	means map[string]float64
	// horizon is Options.Horizon in counter units; zero if it is not known yet.
	horizon float64
}

// levelKey names the workspaces of a shard that are restricted to a data centre, or those that
// are not restricted if dataCentre is empty.
type levelKey struct {
	shard      int
	dataCentre string
}

// level is the state of the group of workspaces that a levelKey names.
type level struct {
	// value is the level that the shard reports plus offset, which contains the changes that
	// observe has made to the level.
	offset, value float64
	// known is set when a level was reported, and backlogged if the last reports contain one.
	known      bool
	backlogged bool
	// step is the lag by which the weight is corrected, in 1/lagSteps of the horizon.
	step int
}

func newLevels() levels {
	return levels{shards: map[levelKey]*level{}, means: map[string]float64{}}
}

// endBacklogs ends the backlogs of a shard whose holder is new, so that it is lifted to the
// mean by its next report.
func (l *levels) endBacklogs(shard int) {
	for key, state := range l.shards {
		if key.shard == shard {
			state.backlogged = false
		}
	}
}

// update takes in the reports of the live holders. horizon is Options.Horizon in seconds.
func (l *levels) update(reports []Report, horizon float64) {
	l.horizon = meanCounterRate(reports) * horizon
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
	l.updateMeans(reports)
}

// meanCounterRate returns the mean rise of the counters in counter units a second.
func meanCounterRate(reports []Report) float64 {
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

// observe takes in a reported level. An unknown shard starts at the mean. A shard whose backlog
// begins is lifted to the mean, or keeps a lead of at most one horizon. Other shards stay within
// maxLagHorizons of the mean.
func (l *levels) observe(key levelKey, reported float64) {
	state := l.shards[key]
	if state == nil {
		state = &level{}
		l.shards[key] = state
	}
	mean, hasMean := l.means[key.dataCentre]
	state.value = reported + state.offset
	switch {
	case !hasMean:
	case !state.known:
		state.value = mean
	case !state.backlogged:
		state.value = min(max(state.value, mean), mean+l.horizon)
	default:
		limit := maxLagHorizons * l.horizon
		state.value = min(max(state.value, mean-limit), mean+limit)
	}
	state.offset = state.value - reported
	state.known = true
	state.backlogged = true
}

// updateMeans computes the mean levels of the backlogged shards.
func (l *levels) updateMeans(reports []Report) {
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

// lag returns how far the shard is behind the mean, in horizons; it is negative for a lead.
func (l *levels) lag(shard int, b pool.Backlog) float64 {
	state := l.shards[levelKey{shard, b.DataCentre}]
	if state == nil || l.horizon <= 0 {
		return 0
	}
	return (l.means[b.DataCentre] - state.value) / l.horizon
}

// weightFactor returns the factor by which the weight of the shard is multiplied to correct its
// lag, and updates its step.
func (l *levels) weightFactor(shard int, b pool.Backlog) float64 {
	state := l.shards[levelKey{shard, b.DataCentre}]
	if state == nil {
		return 1
	}
	steps := min(max(l.lag(shard, b), -1), 1) * lagSteps
	if math.Abs(steps-float64(state.step)) > lagHysteresis {
		state.step = int(math.Round(steps))
	}
	return math.Pow(maxFactor, float64(state.step)/lagSteps) * l.dataCentreFactor(b.DataCentre)
}

// dataCentreFactor returns the factor that corrects the weights of all workspaces restricted to
// a data centre by their lag behind the unrestricted ones.
func (l *levels) dataCentreFactor(dataCentre string) float64 {
	mean, ok := l.means[dataCentre]
	unrestricted, hasUnrestricted := l.means[""]
	if !ok || !hasUnrestricted || l.horizon <= 0 {
		return 1
	}
	return math.Pow(maxFactor, min(max((unrestricted-mean)/l.horizon, -1), 1))
}
