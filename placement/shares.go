package placement

import (
	"math"
	"time"

	"github.com/chiveseam/chiveseam/fairshare"
)

// windowBuckets is the number of buckets of the sliding window. The window moves by one bucket
// at a time.
const windowBuckets = 16

// shareInterval is the time between two computations of the share.
const shareInterval = 100 * time.Millisecond

// shares sums, over a sliding window and for each workspace, the cost in tokens of the
// requests that came to all routers (asked) and of those that were sent to targets (begun).
// From these sums it computes the max-min fair share of a workspace.
type shares struct {
	window time.Duration
	// capacity is the total throughput of the engines in tokens per second; 0 if the
	// configuration does not state it.
	capacity float64
	// byHash holds the sums of each workspace by the Hash of its name.
	byHash map[uint32]*usage
	// current is the number of the newest bucket, counted since the Unix epoch.
	current int64

	// share is the share of each workspace in tokens per second, and scarce is set if the
	// workspaces ask for more than the capacity. Both are computed at computedAt.
	share  float64
	scarce bool
	// leastRefusedUse is the least use, in multiples of the share, among workspaces of which
	// many requests are refused; infinite if there is none.
	leastRefusedUse float64
	// meanRequestTokens is the moving mean of the cost of this router's requests in tokens.
	meanRequestTokens float64
	computedAt        time.Time
}

// usage holds the sums of one workspace.
type usage struct {
	// name is the workspace's name; "" if this router has had no request of it.
	name string
	// asked and begun are the cost in tokens of the requests that came to all routers, and of
	// those that were sent to targets, by bucket of the window.
	asked, begun [windowBuckets]float64
	// ownAsked and ownBegun are the same costs of this router's requests alone, summed since
	// its start. Its load reports state them.
	ownAsked, ownBegun uint64
	// reportsDue is the number of coming load reports that must state ownAsked and ownBegun.
	reportsDue int
}

func newShares(window time.Duration) *shares {
	return &shares{window: window, byHash: make(map[uint32]*usage), leastRefusedUse: math.Inf(1)}
}

// advance moves the window to now, clears the buckets that it enters, and returns the index of
// the newest bucket.
func (s *shares) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(s.window/windowBuckets)
	steps := min(bucket-s.current, windowBuckets)
	for i := range steps {
		at := int((bucket - i) % windowBuckets)
		for _, u := range s.byHash {
			u.asked[at] = 0
			u.begun[at] = 0
		}
	}
	if steps > 0 {
		s.current = bucket
	}
	return int(s.current % windowBuckets)
}

// usage returns the sums of a workspace, and adds them if it is unknown.
func (s *shares) usage(hash uint32) *usage {
	u, ok := s.byHash[hash]
	if !ok {
		u = &usage{}
		s.byHash[hash] = u
	}
	return u
}

// add adds costs in tokens of a workspace's requests, at this or another router, to the newest
// bucket.
func (s *shares) add(now time.Time, hash uint32, asked, begun float64) {
	bucket := s.advance(now)
	u := s.usage(hash)
	u.asked[bucket] += asked
	u.begun[bucket] += begun
}

// addOwn adds the cost in tokens of a request at this router, and makes the workspace's totals
// due for the next load reports.
func (s *shares) addOwn(now time.Time, workspace string, asked, begun float64) {
	hash := Hash(workspace)
	s.add(now, hash, asked, begun)
	if s.meanRequestTokens == 0 {
		s.meanRequestTokens = asked
	}
	if asked > 0 {
		s.meanRequestTokens += requestTokensGain * (asked - s.meanRequestTokens)
	}
	u := s.usage(hash)
	u.name = workspace
	u.ownAsked += uint64(asked)
	u.ownBegun += uint64(begun)
	u.reportsDue = usageReports
}

func sumBuckets(buckets *[windowBuckets]float64) float64 {
	total := 0.0
	for _, v := range buckets {
		total += v
	}
	return total
}

const (
	// recentBuckets is the number of buckets, half of the window, from which leastRefused
	// determines the workspaces that are refused now.
	recentBuckets = windowBuckets / 2
	// A workspace counts as refused if more than minRefusedShare of its share in the recent
	// buckets is refused, and more than minRefusedRequests requests of mean size: two per
	// second with the usual window. Fewer refusals do not show that it gets less than others.
	minRefusedShare    = 0.25
	minRefusedRequests = 4
	// requestTokensGain is the weight of a new request in meanRequestTokens.
	requestTokensGain = 0.1
)

// shareUsage returns the share at now and the use of a workspace: the cost of its requests that
// were sent to targets within the window, in multiples of its share. The use is 0 while the
// capacity meets all demands.
func (s *shares) shareUsage(now time.Time, workspace string) ShareUsage {
	s.advance(now)
	s.compute(now)
	result := ShareUsage{Share: s.share, LeastRefusedUse: s.leastRefusedUse}
	if u, ok := s.byHash[Hash(workspace)]; ok && s.scarce && s.share > 0 {
		result.Use = sumBuckets(&u.begun) / (s.share * s.window.Seconds())
	}
	return result
}

// compute updates share, scarce and leastRefusedUse if they are older than shareInterval.
func (s *shares) compute(now time.Time) {
	if now.Sub(s.computedAt) < shareInterval {
		return
	}
	s.computedAt = now
	seconds := s.window.Seconds()
	demands := make([]float64, 0, len(s.byHash))
	begun := 0.0
	for _, u := range s.byHash {
		demands = append(demands, sumBuckets(&u.asked)/seconds)
		begun += sumBuckets(&u.begun) / seconds
	}
	capacity := s.capacity
	if capacity == 0 || begun < capacity {
		// If requests are refused, the targets can serve no more than what was sent to them,
		// whatever capacity the configuration states.
		capacity = begun
	}
	s.share, s.scarce = fairshare.MaxMinLevel(capacity, demands)
	s.leastRefusedUse = s.leastRefused()
}

// leastRefused returns the least use, in multiples of the share, among the workspaces of which
// many requests are refused now; infinite if there is none. A workspace that was refused earlier
// in the window but no longer sends requests does not count: it must not limit the others.
func (s *shares) leastRefused() float64 {
	least := math.Inf(1)
	if !s.scarce || s.share <= 0 {
		return least
	}
	windowShare := s.share * s.window.Seconds()
	threshold := max(minRefusedShare*windowShare*recentBuckets/windowBuckets, minRefusedRequests*s.meanRequestTokens)
	for _, u := range s.byHash {
		if s.sumRecent(&u.asked)-s.sumRecent(&u.begun) > threshold {
			least = min(least, sumBuckets(&u.begun)/windowShare)
		}
	}
	return least
}

// sumRecent returns the sum of the recentBuckets newest buckets.
func (s *shares) sumRecent(buckets *[windowBuckets]float64) float64 {
	total := 0.0
	for i := range int64(recentBuckets) {
		total += buckets[(s.current+windowBuckets-i)%windowBuckets]
	}
	return total
}
