// Package linkbudget decides how many requests the network link of an instance can carry.
//
// A link that is offered more than it carries queues it: at first all requests become late, then
// connections to targets time out and answers that targets have made come too late or never. A
// Budget keeps the queue short. It models the bytes that are still to pass in each direction as a
// leaky bucket: forwarded requests and expected answers are added when a request is admitted, and
// drain at the rate of the link. Requests of callers have passed the link when they are known,
// those that are refused too; they take from the rate at which the bucket of the incoming direction
// drains. A request is admitted while both buckets hold less than a short time of the link, so that
// the answers of admitted requests find room.
//
// When the link cannot carry all, each workspace is held to its max-min share of the bytes.
//
// The package has no goroutine, clock or random source: callers pass in the current time. A Budget
// is not safe for concurrent use.
package linkbudget

import (
	"math"
	"time"

	"github.com/chiveseam/chiveseam/fairshare"
)

const (
	// usableShare is the part of the link's rate that payload may use; the rest is for the headers
	// of packets, acknowledgements and bytes that nobody announced.
	usableShare = 0.8
	// maxWait is the time of the link that may be queued when a request is admitted, and
	// maxWaitAboveShare that for a workspace that uses more than its share of a full link.
	maxWait           = 150 * time.Millisecond
	maxWaitAboveShare = 30 * time.Millisecond
	// minAnswerShare is the part of the usable rate that is left to incoming answers however many
	// requests come: otherwise a link that is full of requests would serve none.
	minAnswerShare = 0.2
	// loadWindow is the time constant of the load averages.
	loadWindow = time.Second
	// busyLoad is the load, in parts of the usable rate, from which an instance should get no new
	// callers, and calmLoad that below which it may get them again after calmTime.
	busyLoad = 0.85
	calmLoad = 0.6
	calmTime = 2 * time.Second
	// levelInterval is the time between two computations of the share of a workspace.
	levelInterval = 100 * time.Millisecond
	// minWorkspaceBytes is the decayed number of bytes below which a workspace is forgotten.
	minWorkspaceBytes = 1.0
)

// Bytes are numbers of bytes by direction, from the view of the instance.
type Bytes struct {
	In, Out float64
}

// plus returns the sum of both.
func (b Bytes) plus(other Bytes) Bytes { return Bytes{b.In + other.In, b.Out + other.Out} }

// Minus returns the difference of both.
func (b Bytes) Minus(other Bytes) Bytes { return Bytes{b.In - other.In, b.Out - other.Out} }

// scaled returns the bytes times a factor.
func (b Bytes) scaled(factor float64) Bytes { return Bytes{b.In * factor, b.Out * factor} }

// largest returns the larger number.
func (b Bytes) largest() float64 { return max(b.In, b.Out) }

// Budget models the link of one instance.
type Budget struct {
	// rate is the usable rate of each direction in bytes per second; infinite if the rate of the
	// link is not known.
	rate float64
	// expected are the bytes that are still to pass at updatedAt. load are all bytes of the last
	// second, decayed, and requests the incoming ones of callers' requests among them.
	expected, load Bytes
	requests       float64
	updatedAt      time.Time
	// workspaces holds the bytes of each workspace's requests, decayed to levelAt.
	workspaces map[string]Bytes
	// level is the share of a workspace in bytes of load, computed at levelAt; infinite if the link
	// carries what all ask for.
	level   float64
	levelAt time.Time
	busy    bool
	// lastLoaded is when the load last exceeded calmLoad.
	lastLoaded time.Time
}

// New returns the budget of a link with a rate in 10^6 bits per second in each direction. 0 stands
// for a rate that is not known: every request is admitted.
func New(megabitsPerSecond float64) *Budget {
	rate := math.Inf(1)
	if megabitsPerSecond > 0 {
		rate = usableShare * megabitsPerSecond * 1e6 / 8
	}
	return &Budget{rate: rate, workspaces: make(map[string]Bytes), level: math.Inf(1)}
}

// advance drains the queues and decays the averages to now.
func (b *Budget) advance(now time.Time) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.expected.In = max(b.expected.In-b.answerRate()*elapsed.Seconds(), 0)
	b.expected.Out = max(b.expected.Out-b.rate*elapsed.Seconds(), 0)
	factor := math.Exp(-float64(elapsed) / float64(loadWindow))
	b.load = b.load.scaled(factor)
	b.requests *= factor
}

// answerRate returns the rate in bytes per second that requests leave to incoming answers.
func (b *Budget) answerRate() float64 {
	return max(b.rate-b.requests/loadWindow.Seconds(), minAnswerShare*b.rate)
}

// AddRequest adds the bytes of a request that has come from a caller of a workspace; "" stands for no
// workspace.
func (b *Budget) AddRequest(now time.Time, workspace string, bytes float64) {
	if math.IsInf(b.rate, 1) {
		return
	}
	b.advance(now)
	b.requests += bytes
	b.addLoad(now, workspace, Bytes{In: bytes})
}

// Expect adds bytes of a workspace that are still to pass the link; "" stands for no workspace.
// Negative numbers correct an expectation that was too high.
func (b *Budget) Expect(now time.Time, workspace string, bytes Bytes) {
	if math.IsInf(b.rate, 1) {
		return
	}
	b.advance(now)
	b.expected = b.expected.plus(bytes)
	b.expected = Bytes{max(b.expected.In, 0), max(b.expected.Out, 0)}
	b.addLoad(now, workspace, bytes)
}

// addLoad adds bytes to the averages.
func (b *Budget) addLoad(now time.Time, workspace string, bytes Bytes) {
	b.load = b.load.plus(bytes)
	b.load = Bytes{max(b.load.In, 0), max(b.load.Out, 0)}
	if workspace != "" {
		b.workspaces[workspace] = b.workspaces[workspace].plus(bytes)
	}
	b.updateBusy(now)
}

// updateBusy sets busy from the load.
func (b *Budget) updateBusy(now time.Time) {
	load := b.Load()
	if load > calmLoad {
		b.lastLoaded = now
	}
	switch {
	case load > busyLoad:
		b.busy = true
	case now.Sub(b.lastLoaded) > calmTime:
		b.busy = false
	}
}

// Wait returns the time until the bytes that are expected at now have passed in both directions.
func (b *Budget) Wait(now time.Time) time.Duration {
	if math.IsInf(b.rate, 1) {
		return 0
	}
	b.advance(now)
	seconds := max(b.expected.In/b.answerRate(), b.expected.Out/b.rate)
	return time.Duration(seconds * float64(time.Second))
}

// Load returns the load of the fuller direction within the last second, in parts of the usable
// rate, as of the last call with a time.
func (b *Budget) Load() float64 { return b.load.largest() / (b.rate * loadWindow.Seconds()) }

// Busy reports whether the instance should get no new callers: its link is nearly full, or was
// within the last seconds.
func (b *Budget) Busy(now time.Time) bool {
	b.advance(now)
	b.updateBusy(now)
	return b.busy
}

// Admit reports whether the link has room to forward a request of a workspace and its expected
// answer, and adds these bytes if so. If not, it returns the time after which there may be room.
func (b *Budget) Admit(now time.Time, workspace string, bytes Bytes) (time.Duration, bool) {
	if math.IsInf(b.rate, 1) {
		return 0, true
	}
	wait, limit := b.Wait(now), maxWait
	if level := b.currentLevel(now); b.workspaces[workspace].largest() > level {
		limit = maxWaitAboveShare
	}
	if wait > limit {
		return wait - limit, false
	}
	b.Expect(now, workspace, bytes)
	return 0, true
}

// currentLevel returns the share of a workspace in bytes of load, at most levelInterval old.
func (b *Budget) currentLevel(now time.Time) float64 {
	if now.Sub(b.levelAt) < levelInterval {
		return b.level
	}
	factor := 1.0
	if !b.levelAt.IsZero() {
		factor = math.Exp(-float64(now.Sub(b.levelAt)) / float64(loadWindow))
	}
	b.levelAt = now
	demands := make([]float64, 0, len(b.workspaces))
	for name, bytes := range b.workspaces {
		bytes = bytes.scaled(factor)
		if bytes.largest() < minWorkspaceBytes {
			delete(b.workspaces, name)
			continue
		}
		b.workspaces[name] = bytes
		demands = append(demands, bytes.largest())
	}
	level, scarce := fairshare.MaxMinLevel(busyLoad*b.rate*loadWindow.Seconds(), demands)
	b.level = level
	if !scarce {
		b.level = math.Inf(1)
	}
	return b.level
}
