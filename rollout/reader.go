package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/rendezvous"
)

// ReaderOptions are the intervals and sizes of a Reader.
type ReaderOptions struct {
	// Watchers is the number of watchers of a zone.
	Watchers int
	// WatchWait is how long a watcher's call waits for a change.
	WatchWait time.Duration
	// MinInterval is the time between the end of a watch and the next.
	MinInterval time.Duration
	// FallbackInterval is the mean time between the reads of other routers.
	FallbackInterval time.Duration
	// MaxBackoff bounds the mean time between failed reads of a watcher.
	MaxBackoff time.Duration
	// StartSpread is the time over which first reads are spread.
	StartSpread time.Duration
}

// DefaultReaderOptions returns the defaults; the daemon takes some from its
// settings.
func DefaultReaderOptions() ReaderOptions {
	return ReaderOptions{
		Watchers:         2,
		WatchWait:        30 * time.Second,
		MinInterval:      200 * time.Millisecond,
		FallbackInterval: 20 * time.Second,
		MaxBackoff:       5 * time.Second,
		StartSpread:      500 * time.Millisecond,
	}
}

// Reader decides when one router reads one of the platform's values. At most
// one read is in progress. It is not safe for concurrent use.
type Reader struct {
	opts     ReaderOptions
	value    string
	self     string
	zone     string
	rng      *rand.Rand
	watcher  bool
	next     time.Time
	reading  bool
	failures int
}

// NewReader returns a Reader for the router self in a zone. value names what is
// read; different values get different watchers. The first read is due within
// StartSpread of now.
func NewReader(opts ReaderOptions, value, self, zone string, rng *rand.Rand, now time.Time) *Reader {
	r := &Reader{opts: opts, value: value, self: self, zone: zone, rng: rng}
	r.next = now.Add(r.upTo(opts.StartSpread))
	return r
}

// SetPeers sets the names of the reachable routers of the zone, with or
// without the router itself. A router that becomes a watcher reads soon.
func (r *Reader) SetPeers(now time.Time, zone []string) {
	members := slices.Clone(zone)
	if !slices.Contains(members, r.self) {
		members = append(members, r.self)
	}
	ranked := rendezvous.Rank("watch/"+r.value+"/"+r.zone, members, r.opts.Watchers)
	watcher := slices.Contains(ranked, r.self)
	if watcher && !r.watcher {
		soon := now.Add(r.upTo(r.opts.StartSpread))
		if soon.Before(r.next) {
			r.next = soon
		}
	}
	r.watcher = watcher
}

// Watcher returns whether the router watches the platform for its zone.
func (r *Reader) Watcher() bool {
	return r.watcher
}

// Next returns whether a read is due, and how long the call may wait for a
// change: zero for a read that returns at once. The read ends with Done.
func (r *Reader) Next(now time.Time) (wait time.Duration, due bool) {
	if r.reading || now.Before(r.next) {
		return 0, false
	}
	r.reading = true
	if r.watcher {
		return r.opts.WatchWait, true
	}
	return 0, true
}

// Done ends a read. ok is false when the platform did not answer or refused
// the call; an answer without change is ok.
func (r *Reader) Done(now time.Time, ok bool) {
	r.reading = false
	if ok {
		r.failures = 0
	} else {
		r.failures++
	}
	r.next = now.Add(r.pause())
}

func (r *Reader) pause() time.Duration {
	if !r.watcher {
		return r.opts.FallbackInterval/2 + r.upTo(r.opts.FallbackInterval)
	}
	if r.failures == 0 {
		return r.opts.MinInterval
	}
	backoff := r.opts.MinInterval << min(r.failures, 16)
	return r.opts.MinInterval + r.upTo(min(backoff, r.opts.MaxBackoff))
}

// upTo returns a random time between zero and limit.
func (r *Reader) upTo(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit) + 1))
}
