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
	// lagTick is how often the processor's lag is measured.
	lagTick = 100 * time.Millisecond
	// unreadyLag is the lag from which the balancer is told to send new callers
	// elsewhere: an answer takes some dozens of turns of a goroutine.
	unreadyLag = 20 * time.Millisecond
	// busyLag is the lag from which requests are refused at once.
	busyLag = 150 * time.Millisecond
	// calmLag and calmTime end both.
	calmLag  = 4 * time.Millisecond
	calmTime = 2 * time.Second
	// lagGain is the weight of one more measurement.
	lagGain = 0.15
	// turnsMetric is the time that goroutines waited for their turn.
	turnsMetric = "/sched/latencies:seconds"
)

// overload tells from the time that goroutines wait for their turn whether the
// processor keeps up.
type overload struct {
	mu        sync.Mutex
	lag       time.Duration
	unready   bool
	refusing  bool
	calmSince time.Time
}

// observe takes the mean wait for a turn and reports whether the state changed.
func (o *overload) observe(now time.Time, wait time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lag += time.Duration(lagGain * float64(wait-o.lag))
	before := o.unready
	if o.lag > calmLag {
		o.calmSince = now
	}
	switch {
	case o.lag > unreadyLag:
		o.unready = true
	case now.Sub(o.calmSince) > calmTime:
		o.unready = false
	}
	o.refusing = o.lag > busyLag
	return before != o.unready
}

// turns reads how long goroutines waited for their turn.
type turns struct {
	sample []metrics.Sample
	counts []uint64
}

func newTurns() *turns {
	t := &turns{sample: []metrics.Sample{{Name: turnsMetric}}}
	t.mean()
	return t
}

// mean returns the mean wait since the last call.
func (t *turns) mean() time.Duration {
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
		// The lower end of a bucket; the first begins below zero.
		total += added
		seconds += added * max(h.Buckets[i], 0)
	}
	if total == 0 {
		return 0
	}
	return time.Duration(seconds / total * float64(time.Second))
}

func (o *overload) state() (lag time.Duration, unready, refusing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lag, o.unready, o.refusing
}

// watchLag measures the processor's lag.
func (e *Edge) watchLag(ctx context.Context) error {
	waits := newTurns()
	for ctx.Err() == nil {
		pause(ctx, lagTick)
		changed := e.overload.observe(time.Now(), waits.mean())
		lag, unready, _ := e.overload.state()
		e.metrics.lag.Set(lag.Seconds())
		if changed {
			level.Warn(e.logger).Log("event", "overload_changed", "unready", unready, "lag_ms", lag.Milliseconds())
		}
	}
	return nil
}

// busy reports whether requests are refused since the processor does not keep up.
func (e *Edge) busy() bool {
	_, _, refusing := e.overload.state()
	return refusing
}

// maxRefusalLines is the number of refusals that are logged in a second. Their
// number is always told.
const maxRefusalLines = 100

// lineBudget bounds log lines of one kind.
type lineBudget struct {
	logger log.Logger

	mu       sync.Mutex
	second   int64
	lines    int
	unlogged int
}

// allow reports whether a line may be logged now. The first one of a second tells
// of those that were not.
func (b *lineBudget) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		if b.unlogged > 0 {
			level.Warn(b.logger).Log("event", "refusals_not_logged", "count", b.unlogged)
		}
		b.second, b.lines, b.unlogged = second, 0, 0
	}
	if b.lines >= maxRefusalLines {
		b.unlogged++
		return false
	}
	b.lines++
	return true
}
