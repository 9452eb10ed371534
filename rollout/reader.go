package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/rendezvous"
)

// ReaderOptions are the intervals and sizes of a Reader.
type ReaderOptions struct {
	// Watchers is the number of routers in each availability zone that watch the platform: their
	// reads stay open until the value changes or WatchWait has passed.
	Watchers int
	// WatchWait is how long the platform may hold a watcher's call open to wait for a change.
	WatchWait time.Duration
	// MinInterval is the delay between the end of one watch and the start of the next.
	MinInterval time.Duration
	// FallbackInterval is the mean delay between two reads of a router that is not a watcher.
	FallbackInterval time.Duration
	// MaxBackoff limits the random part of a watcher's delay after a failed read.
	MaxBackoff time.Duration
	// StartSpread is the longest random delay of the first read after the start, and of the
	// first read of a router that becomes a watcher.
	StartSpread time.Duration
}

// DefaultReaderOptions returns the default options. The router replaces some of them by its
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

// Reader schedules one router's reads of one value of the platform, such as the configuration
// or the instance list. At most one read is in progress at a time. A Reader performs no read
// itself: its caller polls Next and reports the end of each read with Done. It is not safe for
// concurrent use.
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

// NewReader returns a Reader for the router self in an availability zone. value names what is
// read and is part of the hash that selects the watchers, so that different values get
// different watchers. The first read is due within StartSpread of now.
func NewReader(opts ReaderOptions, value, self, zone string, rng *rand.Rand, now time.Time) *Reader {
	r := &Reader{opts: opts, value: value, self: self, zone: zone, rng: rng}
	r.next = now.Add(r.randomUpTo(opts.StartSpread))
	return r
}

// SetPeers sets the names of the reachable routers in the availability zone, with or without
// the router itself, and selects the watchers among them. A router that becomes a watcher reads
// within StartSpread.
func (r *Reader) SetPeers(now time.Time, zone []string) {
	members := slices.Clone(zone)
	if !slices.Contains(members, r.self) {
		members = append(members, r.self)
	}
	ranked := rendezvous.Rank("watch/"+r.value+"/"+r.zone, members, r.opts.Watchers)
	watcher := slices.Contains(ranked, r.self)
	if watcher && !r.watcher {
		soon := now.Add(r.randomUpTo(r.opts.StartSpread))
		if soon.Before(r.next) {
			r.next = soon
		}
	}
	r.watcher = watcher
}

// Watcher reports whether the router is one of the watchers of its availability zone; see
// ReaderOptions.Watchers.
func (r *Reader) Watcher() bool {
	return r.watcher
}

// Next returns whether a read is due and how long the platform may hold the call open to wait
// for a change; zero stands for a read that returns at once. If due is true, the read counts as
// in progress until the caller calls Done.
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

// Done ends a read. ok is false if the platform did not answer or refused the call, and true
// also for an answer that reports no change.
func (r *Reader) Done(now time.Time, ok bool) {
	r.reading = false
	if ok {
		r.failures = 0
	} else {
		r.failures++
	}
	r.next = now.Add(r.nextDelay())
}

// nextDelay returns the delay between the end of a read and the next one. A router that is not
// a watcher waits between half and one and a half of FallbackInterval. A watcher waits
// MinInterval and, after failures, a random delay on top. The limit of that delay doubles with
// each failure, up to MaxBackoff.
func (r *Reader) nextDelay() time.Duration {
	if !r.watcher {
		return r.opts.FallbackInterval/2 + r.randomUpTo(r.opts.FallbackInterval)
	}
	if r.failures == 0 {
		return r.opts.MinInterval
	}
	backoff := r.opts.MinInterval << min(r.failures, 16)
	return r.opts.MinInterval + r.randomUpTo(min(backoff, r.opts.MaxBackoff))
}

// randomUpTo returns a random duration between zero and limit, inclusive.
func (r *Reader) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit) + 1))
}
