package edge

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// lagTick is how often the processor's lag is measured.
	lagTick = 50 * time.Millisecond
	// unreadyLag is the lag from which the balancer is told to send new callers
	// elsewhere: a share of the wanted time of the quickest calls. A core under a
	// quota stands still for up to a tenth of a second.
	unreadyLag = 150 * time.Millisecond
	// busyLag is the lag from which requests are refused at once.
	busyLag = 400 * time.Millisecond
	// calmLag and calmTime end both.
	calmLag  = 30 * time.Millisecond
	calmTime = 2 * time.Second
	// lagGain is the weight of one more measurement.
	lagGain = 0.3
)

// overload tells from the lateness of timers whether the processor keeps up.
type overload struct {
	mu        sync.Mutex
	lag       time.Duration
	unready   bool
	refusing  bool
	calmSince time.Time
}

// observe takes the lateness of a timer and reports whether the state changed.
func (o *overload) observe(now time.Time, late time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lag += time.Duration(lagGain * float64(late-o.lag))
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

func (o *overload) state() (lag time.Duration, unready, refusing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lag, o.unready, o.refusing
}

// watchLag measures the processor's lag.
func (e *Edge) watchLag(ctx context.Context) error {
	for ctx.Err() == nil {
		due := time.Now().Add(lagTick)
		pause(ctx, lagTick)
		now := time.Now()
		if e.overload.observe(now, now.Sub(due)) {
			lag, unready, _ := e.overload.state()
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
