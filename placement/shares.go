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
	// availableThroughput returns the part of the engines' throughput that is available now.
	availableThroughput func(now time.Time) float64
	// available is that part at computedAt, and availableBy that of each bucket of the window.
	available   float64
	availableBy [windowBuckets]float64
	// byHash holds the sums of each workspace by the Hash of its name.
	byHash map[uint32]*usage
	// current is the number of the newest bucket, counted since the Unix epoch.
	current int64

	// served is the throughput in tokens per second that the targets have shown lately: the highest
	// one, decayed with servedHalfLife. It is divided by the part of the throughput that was available,
	// so that it does not change when targets are evacuated or come back.
	served float64
	// refusing is set while more than refusingPart of what was asked lately was not sent to targets.
	refusing bool
	// share is the share of each workspace in tokens per second, and scarce is set if the
	// workspaces ask for more than the capacity. Both are computed at computedAt.
	share  float64
	scarce bool
	// leastRefusedUse is the least use, in multiples of the share, among workspaces of which
	// many requests are refused; infinite if there is none.
	leastRefusedUse float64
	// leastRefused is the workspace with that use; nil if there is none.
	leastRefused *usage
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
	// ownAskedBy is the cost of this router's requests alone, by bucket of the window.
	ownAskedBy [windowBuckets]float64
	// ownAsked and ownBegun are the same costs of this router's requests alone, summed since
	// its start. Its load reports state them. ownBegun falls when a request turns out not to have run.
	ownAsked, ownBegun uint64
	// guaranteed and limited are the credits at this router of the workspace's share and limit; see
	// admit.
	guaranteed, limited credit
	// reportsDue is the number of coming load reports that must state ownAsked and ownBegun.
	reportsDue int
}

func newShares(window time.Duration) *shares {
	s := &shares{window: window, byHash: make(map[uint32]*usage), leastRefusedUse: math.Inf(1), available: 1}
	for i := range s.availableBy {
		s.availableBy[i] = 1
	}
	return s
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
			u.ownAskedBy[at] = 0
		}
		s.availableBy[at] = s.available
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
	u.ownAskedBy[s.current%windowBuckets] += asked
	u.ownAsked += uint64(int64(asked))
	u.ownBegun += uint64(int64(begun))
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
	// recentBuckets is the number of buckets, half of the window, over which demands are measured and
	// from which leastRefused determines the workspaces that are refused now.
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
	result := ShareUsage{Share: s.share, LeastRefusedUse: s.leastRefusedUse, HeldTo: math.Inf(1)}
	if u, ok := s.byHash[Hash(workspace)]; ok && s.scarce && s.share > 0 {
		windowShare := s.share * s.window.Seconds()
		result.Use = sumBuckets(&u.begun) / windowShare
		result.Asked = s.sumNewest(&u.asked, recentBuckets) / (windowShare * recentBuckets / windowBuckets)
		result.HeldTo = s.limit(u) / s.share
	}
	return result
}

// compute updates share, scarce and leastRefusedUse if they are older than shareInterval.
func (s *shares) compute(now time.Time) {
	if now.Sub(s.computedAt) < shareInterval {
		return
	}
	elapsed := now.Sub(s.computedAt)
	seconds := s.window.Seconds()
	demands := make([]float64, 0, len(s.byHash))
	begun, recentAsked, recentBegun := 0.0, 0.0, 0.0
	for _, u := range s.byHash {
		recentAsked += s.sumNewest(&u.asked, recentBuckets)
		recentBegun += s.sumNewest(&u.begun, recentBuckets)
		demands = append(demands, s.sumNewest(&u.asked, recentBuckets)/(seconds*recentBuckets/windowBuckets))
		begun += sumBuckets(&u.begun) / seconds
	}
	s.computedAt = now
	s.refusing = recentAsked-recentBegun > refusingPart*recentAsked
	s.available = s.availableThroughput(now)
	s.availableBy[s.current%windowBuckets] = s.available
	s.served = max(begun/s.meanAvailable(), s.served*decay(elapsed, servedHalfLife))
	s.share, s.scarce = fairshare.MaxMinLevel(s.fullCapacity()*s.available, demands)
	s.leastRefused, s.leastRefusedUse = s.findLeastRefused()
}

// fullCapacity returns the throughput in tokens per second that the targets provide if none of them
// is held back.
func (s *shares) fullCapacity() float64 {
	if s.capacity == 0 || s.served < s.capacity && s.refusing {
		// If requests are refused, the targets can serve no more than what was sent to them,
		// whatever capacity the configuration states.
		return s.served
	}
	return s.capacity
}

// minMeanAvailable bounds the divisor of served: what is sent to the last few targets says little
// about the throughput of all.
const minMeanAvailable = 0.1

// meanAvailable returns the mean part of the throughput that was available in the window.
func (s *shares) meanAvailable() float64 {
	return max(sumBuckets(&s.availableBy)/windowBuckets, minMeanAvailable)
}

const (
	// refusingPart is the part of the demand from which refusals show that the targets serve no more than
	// what was sent to them. While less is refused, a demand above shares.served only rises.
	refusingPart = 0.05
	// servedHalfLife is the time in which shares.served loses half of its value. It spans several
	// share windows: what the targets can serve changes seldom, what is sent to them at any time.
	servedHalfLife = 10 * time.Second
	// creditTime is the time for which a workspace may save credit.
	creditTime = 500 * time.Millisecond
	// guaranteedShare is the part of its share that a workspace gets before all requests above
	// shares.
	guaranteedShare = 0.9
	// maxCreditWait bounds the time until there is credit again.
	maxCreditWait = 10 * time.Second
	// rateBuckets is the number of buckets over which the demand of a workspace is measured to
	// divide its limit between the routers: its callers may move within seconds.
	rateBuckets = windowBuckets / 4
)

// limit returns the rate in tokens per second to which a workspace is held while requests of another
// one are refused: maxUseRatio times that of the least served one of them, but at least the share.
// It is infinite if there is none.
func (s *shares) limit(u *usage) float64 {
	if s.leastRefused == nil || s.leastRefused == u {
		return math.Inf(1)
	}
	return s.share * max(1, maxUseRatio*s.leastRefusedUse)
}

// grant is the decision of admit.
type grant struct {
	// admitted is set if the request keeps its workspace within the limit, and guaranteed if it
	// keeps it within its share.
	admitted, guaranteed bool
	// after is the time until the workspace is within its limit again; 0 if it is.
	after time.Duration
}

// admit decides whether a request of a workspace keeps it within its share and within its limit, and
// takes the cost of the request from the credits of the workspace if so. Each router has the part of
// both rates that it has of the workspace's requests, so that the parts sum to the rate wherever its
// callers are (flow proportional share; Raghavan et al., Cloud Control with Distributed Rate
// Limiting, 2007).
func (s *shares) admit(now time.Time, workspace string, cost float64) grant {
	s.advance(now)
	s.compute(now)
	u := s.usage(Hash(workspace))
	if !s.scarce {
		return grant{admitted: true, guaranteed: true}
	}
	part := s.ownPart(u)
	u.guaranteed.refill(now, guaranteedShare*s.share*part)
	u.limited.refill(now, s.limit(u)*part)
	g := grant{admitted: u.limited.tokens > 0, guaranteed: u.guaranteed.tokens > 0}
	switch {
	case g.guaranteed:
		g.admitted = true
		u.guaranteed.tokens -= cost
		u.limited.tokens -= cost
	case g.admitted:
		u.limited.tokens -= cost
	default:
		g.after = u.limited.untilPositive()
	}
	return g
}

// credit is a token bucket that may be overdrawn by one request, so that large requests find room as
// often as small ones.
type credit struct {
	// tokens is the credit in tokens at updatedAt, and rate that in tokens per second at which it
	// grew then.
	tokens, rate float64
	updatedAt    time.Time
}

// refill adds what came since the last call, at a rate in tokens per second, which may be infinite.
// The credit is limited to that of creditTime.
func (c *credit) refill(now time.Time, rate float64) {
	elapsed := min(now.Sub(c.updatedAt), time.Minute)
	c.rate, c.updatedAt = rate, now
	if math.IsInf(rate, 1) {
		c.tokens = rate
		return
	}
	c.tokens = min(c.tokens+rate*elapsed.Seconds(), creditTime.Seconds()*rate)
}

// untilPositive returns the time until there is credit.
func (c *credit) untilPositive() time.Duration {
	return time.Duration(min(max(-c.tokens/c.rate, 0), maxCreditWait.Seconds()) * float64(time.Second))
}

// belowShare reports whether a workspace asks for no more than its share, as of the last computation
// of the share.
func (s *shares) belowShare(workspace string) bool {
	u, ok := s.byHash[Hash(workspace)]
	return !ok || sumBuckets(&u.asked) <= s.share*s.window.Seconds()
}

// ownPart returns the part of a workspace's demand that came to this router lately.
func (s *shares) ownPart(u *usage) float64 {
	own, all := s.sumNewest(&u.ownAskedBy, rateBuckets), s.sumNewest(&u.asked, rateBuckets)
	if own >= all {
		return 1
	}
	return own / all
}

// findLeastRefused returns the workspace with the least use, in multiples of the share, among those
// of which many requests are refused now; nil and infinite if there is none. A workspace that was
// refused earlier in the window but no longer sends requests does not count: it must not limit the
// others.
func (s *shares) findLeastRefused() (workspace *usage, least float64) {
	least = math.Inf(1)
	if !s.scarce || s.share <= 0 {
		return nil, least
	}
	recentShare := s.share * s.window.Seconds() * recentBuckets / windowBuckets
	threshold := max(minRefusedShare*recentShare, minRefusedRequests*s.meanRequestTokens)
	for _, u := range s.byHash {
		begun := s.sumNewest(&u.begun, recentBuckets)
		if s.sumNewest(&u.asked, recentBuckets)-begun > threshold && begun/recentShare < least {
			workspace, least = u, begun/recentShare
		}
	}
	return workspace, least
}

// sumNewest returns the sum of the n newest buckets.
func (s *shares) sumNewest(buckets *[windowBuckets]float64, n int64) float64 {
	total := 0.0
	for i := range n {
		total += buckets[(s.current+windowBuckets-i)%windowBuckets]
	}
	return total
}
