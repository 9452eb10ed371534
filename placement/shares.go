package placement

import (
	"math"
	"time"

	"github.com/chiveseam/chiveseam/fairshare"
)

// shareBuckets divide the window; the oldest one leaves at a time.
const shareBuckets = 16

// levelInterval is how long a computed level is used.
const levelInterval = 100 * time.Millisecond

// shares counts the tokens that workspaces asked for and began at targets, in the
// whole fleet, over a sliding window.
type shares struct {
	window   time.Duration
	capacity float64
	byHash   map[uint32]*usage
	current  int64

	level  float64
	scarce bool
	// least is the least use of a workspace that is refused much, in multiples of its
	// share; infinite if there is none.
	least float64
	// size is the mean of the tokens that a request asks for.
	size       float64
	computedAt time.Time
}

type usage struct {
	// name is known once this router had a request of the workspace.
	name         string
	asked, begun [shareBuckets]float64
	// ownAsked and ownBegun are this router's totals, for its reports.
	ownAsked, ownBegun uint64
	dirty              int
}

func newShares(window time.Duration) *shares {
	return &shares{window: window, byHash: make(map[uint32]*usage), least: math.Inf(1)}
}

func (s *shares) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(s.window/shareBuckets)
	steps := min(bucket-s.current, shareBuckets)
	for i := range steps {
		at := int((bucket - i) % shareBuckets)
		for _, u := range s.byHash {
			u.asked[at] = 0
			u.begun[at] = 0
		}
	}
	if steps > 0 {
		s.current = bucket
	}
	return int(s.current % shareBuckets)
}

func (s *shares) usage(hash uint32) *usage {
	u, ok := s.byHash[hash]
	if !ok {
		u = &usage{}
		s.byHash[hash] = u
	}
	return u
}

// add counts tokens in the fleet's view.
func (s *shares) add(now time.Time, hash uint32, asked, begun float64) {
	at := s.advance(now)
	u := s.usage(hash)
	u.asked[at] += asked
	u.begun[at] += begun
}

// addOwn counts tokens of this router's requests.
func (s *shares) addOwn(now time.Time, workspace string, asked, begun float64) {
	hash := Hash(workspace)
	s.add(now, hash, asked, begun)
	if s.size == 0 {
		s.size = asked
	}
	if asked > 0 {
		s.size += sizeGain * (asked - s.size)
	}
	u := s.usage(hash)
	u.name = workspace
	u.ownAsked += uint64(asked)
	u.ownBegun += uint64(begun)
	u.dirty = useRepeats
}

func sum(buckets *[shareBuckets]float64) float64 {
	total := 0.0
	for _, v := range buckets {
		total += v
	}
	return total
}

const (
	// recentBuckets are those that tell what is refused now: half of the window.
	recentBuckets = shareBuckets / 2
	// refusedShare is the part of its share from which a workspace counts as refused
	// much, and refusedRequests the number of requests: two in each second of the usual
	// window. Fewer say nothing of its place among the others.
	refusedShare    = 0.25
	refusedRequests = 4
	// sizeGain is the weight of one more request in their mean size.
	sizeGain = 0.1
)

// standing returns a workspace's place. Its use is what it has begun within the window;
// it is 0 while the capacity meets all demands.
func (s *shares) standing(now time.Time, workspace string) Standing {
	s.advance(now)
	s.compute(now)
	place := Standing{Level: s.level, Least: s.least}
	if u, ok := s.byHash[Hash(workspace)]; ok && s.scarce && s.level > 0 {
		place.Use = sum(&u.begun) / (s.level * s.window.Seconds())
	}
	return place
}

func (s *shares) compute(now time.Time) {
	if now.Sub(s.computedAt) < levelInterval {
		return
	}
	s.computedAt = now
	seconds := s.window.Seconds()
	demands := make([]float64, 0, len(s.byHash))
	begun := 0.0
	for _, u := range s.byHash {
		demands = append(demands, sum(&u.asked)/seconds)
		begun += sum(&u.begun) / seconds
	}
	capacity := s.capacity
	if capacity == 0 || begun < capacity {
		// What is begun while demand waits is all that the targets can do.
		capacity = begun
	}
	s.level, s.scarce = fairshare.MaxMinLevel(capacity, demands)
	s.least = s.leastRefused()
}

// leastRefused returns the least use of the workspaces that are refused much now. One
// that was, and asks for nothing any more, is no measure of what others may have.
func (s *shares) leastRefused() float64 {
	least := math.Inf(1)
	if !s.scarce || s.level <= 0 {
		return least
	}
	share := s.level * s.window.Seconds()
	much := max(refusedShare*share*recentBuckets/shareBuckets, refusedRequests*s.size)
	for _, u := range s.byHash {
		if s.recent(&u.asked)-s.recent(&u.begun) > much {
			least = min(least, sum(&u.begun)/share)
		}
	}
	return least
}

// recent sums the newest buckets.
func (s *shares) recent(buckets *[shareBuckets]float64) float64 {
	total := 0.0
	for i := range int64(recentBuckets) {
		total += buckets[(s.current+shareBuckets-i)%shareBuckets]
	}
	return total
}
