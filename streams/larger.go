package streams

import (
	"math"
	"math/bits"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// significance is by how many standard deviations data must be longer than usual to count as longer.
	significance = 4
	// minMeanExcess is by how many of them events with larger numbers must be longer on average.
	minMeanExcess = 0.5
	// roundingVariance is the variance of a size, in bytes squared, that a few equal sizes do not show.
	roundingVariance = 0.25
	// minSizes is the number of usual events from which on their sizes are known at all.
	minSizes = 2
	// minStreamSizes is the number of usual events of a stream from which on its own sizes tell what is usual there.
	minStreamSizes = 4
	// minTrend is the number of events with larger numbers from which on they show how long the data of another one is.
	minTrend = 4
	// maxLackingShare is the part of the expected excess of data that an event may lack.
	maxLackingShare = 1. / 3
	// maxSizes is the number of events after which the weight of all sizes is halved, so that old ones lose theirs.
	maxSizes = 1024
)

// sizes are the mean and the variance of the sizes of some events' data. The zero value is of none.
type sizes struct {
	count int
	// mean is in bytes, and squares the sum of the squared differences from it.
	mean, squares float64
}

// add records a size in bytes.
func (s *sizes) add(bytes float64) {
	if s.count >= maxSizes {
		s.count, s.squares = s.count/2, s.squares/2
	}
	s.count++
	before := bytes - s.mean
	s.mean += before / float64(s.count)
	s.squares += before * (bytes - s.mean)
}

// variance returns the variance in bytes squared.
func (s *sizes) variance() float64 { return s.squares/float64(max(s.count-1, 1)) + roundingVariance }

// deviation returns the standard deviation in bytes, with what few sizes leave unknown.
func (s *sizes) deviation() float64 {
	unknown := s.mean / float64(2*max(s.count, 1))
	return math.Sqrt(s.variance() + unknown*unknown)
}

// largerNumbers is what is known of the events whose numbers are above the mode. If numbers count what events hold, like tokens, such an
// event holds more data, and nothing is missing; behind events that are missing it is as long as others. Only differences of sizes
// count, since events also hold data of another kind. The zero value knows nothing.
type largerNumbers struct {
	// usual are the sizes of the events with the mode.
	usual sizes
	// count is the number of events with larger numbers, distance the sum of what these are above the mode, and excess the
	// sum of the bytes by which their data is longer than usual.
	count            int
	distance, excess float64
	// recurring tells whether numbers above the mode that the data does not explain are usual, too.
	recurring recurrence
}

// add records an event with a number that is a distance above the mode, and by how many bytes its data is longer than usual.
func (l *largerNumbers) add(distance uint64, excess float64) {
	if l.usual.count < minSizes {
		return
	}
	if l.count >= maxSizes {
		l.count, l.distance, l.excess = l.count/2, l.distance/2, l.excess/2
	}
	l.count++
	l.distance += float64(distance)
	l.excess += excess
}

// holdMore reports whether events with larger numbers have shown to be longer, if sizes deviate by some bytes.
func (l *largerNumbers) holdMore(deviation float64) bool {
	count := float64(l.count)
	return l.usual.count >= minSizes && l.count > 0 && l.excess > deviation*max(significance*math.Sqrt(count), minMeanExcess*count)
}

// explain reports whether an event with a number that is a distance above the mode holds the more that it counts. It has been added.
func (l *largerNumbers) explain(distance, mode uint64, size sizeOfEvent) bool {
	if !l.holdMore(size.deviation) {
		return false
	}
	if l.count < minTrend {
		return true
	}
	expected := l.excess / l.distance * float64(distance)
	lacking := expected - size.excess
	deviation := size.deviation * math.Sqrt(1+float64(distance)/float64(max(mode, 1)))
	return lacking < maxLackingShare*expected || lacking < significance*deviation
}

// news grows by one each time that as much again is known, or events have shown to be longer, or larger numbers to be usual.
func (l *largerNumbers) news() int {
	news := bits.Len(uint(min(l.count, wellKnown))) + bits.Len64(l.recurring.upTo()) + l.recurring.added
	if l.holdMore(l.usual.deviation()) {
		news++
	}
	return news
}

func (l *largerNumbers) message(now time.Time) *v1.LargerNumbers {
	if l.usual.mean == 0 && l.count == 0 && !l.recurring.usual && len(l.recurring.recent) == 0 {
		return nil
	}
	return &v1.LargerNumbers{
		Sizes: uint32(l.usual.count), MeanBytes: l.usual.mean, SquaresBytes: l.usual.squares,
		Count: uint32(l.count), Distance: l.distance, ExcessBytes: l.excess, RecurringUpTo: l.recurring.upTo(),
		Recent: l.recurring.messages(now),
	}
}

// adopt replaces what is known by what another router has learned from more events.
func (l *largerNumbers) adopt(now time.Time, told *v1.LargerNumbers, targets *recentTargets) {
	if count := int(min(told.GetSizes(), maxSizes)); count > l.usual.count && isSize(told.GetMeanBytes()) && isSize(told.GetSquaresBytes()) {
		l.usual = sizes{count: count, mean: told.GetMeanBytes(), squares: told.GetSquaresBytes()}
	}
	if count := int(min(told.GetCount(), maxSizes)); isSize(told.GetDistance()) && isSize(math.Abs(told.GetExcessBytes())) {
		other := *l
		other.count, other.distance, other.excess = count, max(told.GetDistance(), float64(count)), told.GetExcessBytes()
		deviation := l.usual.deviation()
		if count > l.count || other.holdMore(deviation) && !l.holdMore(deviation) {
			*l = other
		}
	}
	l.recurring.adopt(now, told.GetRecent(), told.GetRecurringUpTo(), targets)
}

// isSize reports whether a number is one that sizes can add up to.
func isSize(number float64) bool { return number >= 0 && number < 1<<53 }

// usualNumber is the mode of the first IDs of streams, or of their steps, and what is known of the numbers above it.
type usualNumber struct {
	mode
	larger largerNumbers
}

// observe records the number of an event. Larger ones that are explained by longer events, however many there are in a row, do not
// show that the usual one has changed.
func (u *usualNumber) observe(number uint64, bytes int, explained bool) {
	before := u.value
	u.mode.record(number, !explained)
	u.forgetSizes(before)
	if number == u.value {
		u.larger.usual.add(float64(bytes))
	}
}

// forgetSizes forgets the sizes of events if the mode has been another number before.
func (u *usualNumber) forgetSizes(before uint64) {
	if u.value != before {
		u.larger = largerNumbers{recurring: u.larger.recurring}
	}
}

// isExplained reports whether a number above the mode is right, as the event's data is longer, too.
func (u *usualNumber) isExplained(number uint64, size sizeOfEvent) bool {
	return number > u.value && u.larger.explain(number-u.value, u.value, size)
}

// sizeOfEvent compares the size of an event's data with others.
type sizeOfEvent struct {
	// excess is by how many bytes it is longer than usual, and deviation the standard deviation of sizes.
	excess, deviation float64
}

// compare compares a size in bytes with those of the service and with those of the usual events of its stream: streams of a service may
// be written in different ways.
func (u *usualNumber) compare(bytes int, inStream *sizes) sizeOfEvent {
	all := &u.larger.usual
	mean, deviation := all.mean, all.deviation()
	if inStream.count >= minStreamSizes {
		mean = inStream.mean
	} else if inStream.count > 0 {
		mean = max(mean, inStream.mean)
	}
	deviation = max(deviation, math.Sqrt(inStream.variance()))
	return sizeOfEvent{excess: float64(bytes) - mean, deviation: deviation}
}

// recurs records that a target wrote a number above the mode which nothing explains. It reports whether the targets of the
// service usually do, and second targets have not shown otherwise.
func (u *usualNumber) recurs(s sighting, targets *recentTargets) bool {
	return u.larger.recurring.see(s, targets) && u.refuted < minRefuted
}

func (u *usualNumber) message(now time.Time) *v1.UsualNumber {
	m := u.mode.message()
	m.Larger = u.larger.message(now)
	return m
}

// adopt learns what another router reports.
func (u *usualNumber) adopt(now time.Time, told *v1.UsualNumber, targets *recentTargets) {
	before := u.value
	u.mode.adopt(told)
	u.forgetSizes(before)
	if u.hits > 0 && u.value == told.GetValue() {
		u.larger.adopt(now, told.GetLarger(), targets)
	}
}
