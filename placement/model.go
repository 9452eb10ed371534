package placement

import (
	"math"
	"time"
)

// speedModel predicts the time to the first token in milliseconds from the number of prompt
// tokens that a target has to process. It fits a line through the samples of all targets of a
// service by least squares; the weight of samples decays exponentially.
type speedModel struct {
	// weight is the total weight of the samples as of updated; x (tokens), y (ms), xx and xy
	// are the weighted sums over them.
	weight, x, y, xx, xy float64
	updated              time.Time
}

const (
	// modelHalfLife is the time in which a sample loses half of its weight: some
	// seconds of traffic for a service.
	modelHalfLife = 20 * time.Second
	// modelMinWeight is the total weight of the samples from which the fitted line is used.
	modelMinWeight = 12
	// initialBase in ms and initialSlope in ms per token are the line that is used until
	// then: that of a current engine, which processes 50 tokens/ms.
	initialBase  = 60.0
	initialSlope = 1.0 / 50
)

// decay returns the factor by which a weight shrinks in the elapsed time.
func decay(elapsed time.Duration, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// observe adds a sample: the target had to process a number of tokens, and the first token
// came after ms milliseconds.
func (m *speedModel) observe(now time.Time, tokens, ms float64) {
	factor := decay(now.Sub(m.updated), modelHalfLife)
	m.updated = now
	m.weight = m.weight*factor + 1
	m.x = m.x*factor + tokens
	m.y = m.y*factor + ms
	m.xx = m.xx*factor + tokens*tokens
	m.xy = m.xy*factor + tokens*ms
}

// ready reports whether there are enough samples for a fitted line.
func (m *speedModel) ready() bool { return m.weight >= modelMinWeight }

// line returns the base in ms and the slope in ms per token of the prediction.
func (m *speedModel) line() (base, slope float64) {
	if !m.ready() {
		return initialBase, initialSlope
	}
	meanX, meanY := m.x/m.weight, m.y/m.weight
	variance := m.xx/m.weight - meanX*meanX
	if variance > 1 {
		slope = (m.xy/m.weight - meanX*meanY) / variance
	}
	// Samples of few distinct sizes give no meaningful slope, and the slope must be positive.
	slope = min(max(slope, initialSlope/8), initialSlope*8)
	return max(meanY-slope*meanX, 1), slope
}

// latencyRatio compares a target's times to the first token with the predictions of its
// service's model. The ratio of observed to predicted is the target's slowness.
type latencyRatio struct {
	// observed and predicted are sums of times in ms, which decay exponentially, as of updated.
	observed, predicted float64
	updated             time.Time
}

// latencyRatioHalfLife is short, so that a few answers suffice to notice that a target has
// become slow.
const latencyRatioHalfLife = 3 * time.Second

// latencyRatioPriorMs is the time in ms that is added to both observed and predicted, so that
// the ratio stays near 1 while there are few samples.
const latencyRatioPriorMs = 150.0

// fastRatioPriorMs is the prior in ms for targets that answer sooner than predicted. It is larger,
// since a single request whose prompt was in the cache without this router's knowledge would
// otherwise make its target look several times as fast as the others, and attract the requests of
// all routers until the next reports.
const fastRatioPriorMs = 2000.0

func (p *latencyRatio) observe(now time.Time, observed, predicted float64) {
	p.age(now)
	p.observed += observed
	p.predicted += predicted
}

// age decays the sums to now.
func (p *latencyRatio) age(now time.Time) {
	factor := decay(now.Sub(p.updated), latencyRatioHalfLife)
	p.updated = now
	p.observed *= factor
	p.predicted *= factor
}
