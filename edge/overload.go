package edge

import (
	"context"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// lagInterval is the time between two measurements of the scheduling latency.
	lagInterval = 100 * time.Millisecond
	// unreadyLag is the lag above which the router reports itself as not ready, so that the load
	// balancer sends new callers elsewhere. It is low because goroutines are scheduled a few dozen
	// times for one answer and wait this long each time.
	unreadyLag = 20 * time.Millisecond
	// Between shedLag and refuseLag the router refuses a growing part of the new requests, from
	// refuseLag on all of them.
	shedLag   = 30 * time.Millisecond
	refuseLag = 150 * time.Millisecond
	// A router becomes ready again once the lag has not exceeded recoveredLag for recoveryTime. If it was
	// ready for less than relapseTime before, the time is twice the last one, at most maxRecoveryTime:
	// the callers that come back to it are more than it can serve, and each return costs them seconds.
	recoveredLag    = 4 * time.Millisecond
	recoveryTime    = 2 * time.Second
	relapseTime     = 5 * time.Second
	maxRecoveryTime = 16 * time.Second
	// lagSmoothing is the weight of a new measurement in the moving average.
	lagSmoothing = 0.15
	// schedulingLatencyMetric is the runtime metric with the histogram of the times that goroutines
	// spent runnable before they ran.
	schedulingLatencyMetric = "/sched/latencies:seconds"
)

// overload detects from the scheduling latency of goroutines that the processor does not keep up.
// It is safe for concurrent use; mu guards all other fields.
type overload struct {
	mu sync.Mutex
	// lag is the moving average of the scheduling latency.
	lag      time.Duration
	unready  bool
	refusing bool
	// lastHighLag is the last time at which lag exceeded recoveredLag.
	lastHighLag time.Time
	// readySince is when the router last became ready; zero before it has been unready. recovery is the
	// time at low lag after which it becomes so again.
	readySince time.Time
	recovery   time.Duration
}

// observe adds a measurement: the mean scheduling latency since the last one, or the time for which
// connections have been waiting to be accepted, if that is longer. It reports whether
// the readiness changed.
func (o *overload) observe(now time.Time, wait time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lag += time.Duration(lagSmoothing * float64(wait-o.lag))
	before := o.unready
	if o.lag > recoveredLag {
		o.lastHighLag = now
	}
	switch {
	case o.lag > unreadyLag && !o.unready:
		o.unready = true
		o.recovery = o.nextRecovery(now)
	case o.unready && now.Sub(o.lastHighLag) > o.recovery:
		o.unready = false
		o.readySince = now
	}
	o.refusing = o.lag > refuseLag
	return before != o.unready
}

// nextRecovery returns the time at low lag until a router that becomes unready now is ready again. mu is
// held.
func (o *overload) nextRecovery(now time.Time) time.Duration {
	if o.readySince.IsZero() || now.Sub(o.readySince) > relapseTime {
		return recoveryTime
	}
	return min(2*o.recovery, maxRecoveryTime)
}

// schedulingLatency measures how long goroutines wait for the processor. It is not safe for
// concurrent use.
type schedulingLatency struct {
	sample []metrics.Sample
	// counts holds the histogram's counts at the last call of mean.
	counts []uint64
}

// newSchedulingLatency starts a measurement.
func newSchedulingLatency() *schedulingLatency {
	t := &schedulingLatency{sample: []metrics.Sample{{Name: schedulingLatencyMetric}}}
	t.mean()
	return t
}

// mean returns the mean latency since the last call, and 0 if the runtime has no such metric.
func (t *schedulingLatency) mean() time.Duration {
	metrics.Read(t.sample)
	if t.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := t.sample[0].Value.Float64Histogram()
	if len(t.counts) != len(h.Counts) {
		t.counts = make([]uint64, len(h.Counts))
	}
	total, seconds := 0.0, 0.0
	for i, count := range h.Counts {
		added := float64(count - t.counts[i])
		t.counts[i] = count
		// Each latency is taken as the lower bound of its bucket. That of the first bucket is
		// negative.
		total += added
		seconds += added * max(h.Buckets[i], 0)
	}
	if total == 0 {
		return 0
	}
	return time.Duration(seconds / total * float64(time.Second))
}

// state returns the lag and whether the router is unready and refuses requests.
func (o *overload) state() (lag time.Duration, unready, refusing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lag, o.unready, o.refusing
}

// watchLag measures the scheduling latency until ctx ends.
func (e *Edge) watchLag(ctx context.Context) error {
	latency := newSchedulingLatency()
	for ctx.Err() == nil {
		sleep(ctx, lagInterval)
		now := time.Now()
		changed := e.overload.observe(now, max(latency.mean(), e.backlog.age(now)))
		e.updateLinkBusy(time.Now())
		lag, unready, _ := e.overload.state()
		e.metrics.lag.Set(lag.Seconds())
		if changed {
			level.Warn(e.logger).Log("event", "overload_changed", "unready", unready, "lag_ms", lag.Milliseconds())
		}
	}
	return nil
}

// refusedShare returns the part of new requests, from 0 to 1, that is refused at a lag.
func refusedShare(lag time.Duration) float64 {
	return min(max(float64(lag-shedLag)/float64(refuseLag-shedLag), 0), 1)
}

// overloaded reports whether a new request is refused because the processor does not keep up. draw is
// a random number from 0 to below 1.
func (e *Edge) overloaded(draw float64) bool {
	lag, _, _ := e.overload.state()
	return draw < refusedShare(lag)
}

// maxRefusalLinesPerSecond limits the log lines of each logLimiter, such as those for refused requests.
// The number of lines left out is logged.
const maxRefusalLinesPerSecond = 100

// logLimiter limits the rate of log lines of one kind. It is safe for concurrent use.
type logLimiter struct {
	logger log.Logger
	// event names the log line with the number of lines left out.
	event string

	mu sync.Mutex
	// second is the current Unix time in seconds, lines and dropped count the lines logged and
	// left out in it. mu guards them.
	second  int64
	lines   int
	dropped int
}

// allow reports whether a line may be logged now. The first call in a second logs how many lines
// were left out in the one before.
func (b *logLimiter) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		if b.dropped > 0 {
			level.Warn(b.logger).Log("event", b.event, "count", b.dropped)
		}
		b.second, b.lines, b.dropped = second, 0, 0
	}
	if b.lines >= maxRefusalLinesPerSecond {
		b.dropped++
		return false
	}
	b.lines++
	return true
}
