package streams

import (
	"cmp"
	"errors"
	"strconv"
	"strings"
)

// Errors of the order of events.
var (
	// ErrOrder: the ID of an event is a number that is not above the one before it.
	ErrOrder = errors.New("event IDs do not increase")
	// ErrGap: the IDs of a service's events rise by a usual step, and the ID of an event is further from the one before it.
	ErrGap = errors.New("events are missing between event IDs")
)

const (
	// minHits is the number of times that a step must have been seen before a larger one counts as a gap, and minHitsRetry
	// the same for a stream that another target may continue.
	minHits      = 32
	minHitsRetry = 4
	// minEarlyHits and minEarlyHitsRetry are the same for a mode of less than maxEarly numbers, with earlyHitsPerOutlier more for
	// each other one.
	minEarlyHits        = 4
	minEarlyHitsRetry   = 2
	earlyHitsPerOutlier = 10
	maxEarly            = 64
	// expectedHits is how often a step counts as seen that is the same as at another version, which hardly has any other.
	expectedHits = 16
	// minHitsAtEnd is the same at the end of a stream, if no step but the larger one has been different.
	minHitsAtEnd = 8
	// maxOutlierShare is the largest number of other steps, as a fraction of the usual ones.
	maxOutlierShare = 0.1
	// maxOutlierRun is the number of other steps in a row that show that the usual one has changed: a target that leaves
	// events out numbers the rest as usual.
	maxOutlierRun = 4
	// maxConfirmed is the number of gaps that second targets must confirm until gaps are ignored. A gap that a second
	// target does not have offsets one that it has.
	maxConfirmed = 4
	// minRefuted is the number of gaps that second targets did not have from which on one that they have still counts, if the
	// usual step was seen at least regularHits times as often as others. One that they have offsets minRefuted others, of which
	// maxRefuted count at most.
	minRefuted  = 2
	maxRefuted  = 4
	regularHits = 40
	// maxObserved is the number of steps after which all counts are halved, so that old ones lose their weight.
	maxObserved = 4096
)

// mode is the most frequent of some numbers, if nearly all of them are equal. The zero value has observed none.
type mode struct {
	value          uint64
	hits, outliers int
	// outlierRun counts the outliers since the last hit.
	outlierRun int
	// confirmed counts the larger numbers that a second target confirmed, less those that it did not, and refuted those that it
	// did not, less minRefuted for each one that it did.
	confirmed, refuted int
	// seen counts all numbers, also those before the mode has changed, up to maxObserved.
	seen int
	// expected is the mode of another version, if expects is set. It counts if the first number is the same.
	expected uint64
	expects  bool
}

// observe records a number.
func (m *mode) observe(number uint64) { m.record(number, true) }

// record records a number. mayChange is set if several others in a row show that the mode has changed.
func (m *mode) record(number uint64, mayChange bool) {
	if m.seen == 0 && m.expects && number == m.expected {
		m.value, m.hits, m.seen = number, expectedHits, expectedHits
	}
	m.seen = min(m.seen+1, maxObserved)
	switch {
	case number == m.value:
		m.hits++
		m.outlierRun = 0
	case m.hits > m.outliers:
		m.outliers++
		if !mayChange {
			break
		}
		if m.outlierRun++; m.outlierRun == maxOutlierRun {
			m.outliers = m.hits
		}
	default:
		*m = mode{value: number, hits: 1, seen: m.seen, confirmed: m.confirmed, refuted: m.refuted}
	}
	if m.hits+m.outliers >= maxObserved {
		m.hits, m.outliers, m.confirmed = m.hits/2, m.outliers/2, m.confirmed/2
	}
}

// confirm records whether a second target confirmed a larger number.
func (m *mode) confirm(confirmed bool) {
	if confirmed {
		m.confirmed++
		m.refuted = max(m.refuted-minRefuted, 0)
		return
	}
	m.confirmed = max(m.confirmed-1, 0)
	m.refuted = min(m.refuted+1, maxRefuted)
}

// trusts reports whether a larger number that a second target confirms is right: targets of a service whose numbers hardly vary
// may rather write the same wrong one.
func (m *mode) trusts() bool {
	return m.refuted < minRefuted || m.hits < regularHits*max(m.outliers, 1)
}

// expect makes the mode expect that of another version, if that is known well and hardly varies.
func (m *mode) expect(other *mode) {
	if other.hits >= wellKnown && other.hits >= regularHits*other.outliers {
		m.expected, m.expects = other.value, true
	}
}

// isKnown reports whether enough numbers were seen to tell the mode.
func (m *mode) isKnown() bool { return m.hits >= minHitsRetry && m.hits > m.outliers }

// isUsual reports whether a number is the mode, as far as that is known.
func (m *mode) isUsual(number uint64) bool { return number == m.value && m.isKnown() }

// exceededBy reports whether a number is above the mode, which must have been seen at least hits times.
func (m *mode) exceededBy(number uint64, hits int) bool {
	return m.mayBeExceededBy(number) && m.hits >= hits && float64(m.outliers) <= maxOutlierShare*float64(m.hits)
}

// mayBeExceededBy reports whether a number is above the mode, and such numbers are not ignored for the time being.
func (m *mode) mayBeExceededBy(number uint64) bool {
	return number > m.value && m.confirmed < maxConfirmed
}

// isGap reports whether a step or a first ID counts as a gap. mayRetry is set if another target may continue the stream.
func (m *mode) isGap(number uint64, mayRetry bool) bool {
	hits, early := minHits, minEarlyHits
	if mayRetry {
		hits, early = minHitsRetry, minEarlyHitsRetry
	}
	knownEarly := m.seen < maxEarly && m.hits >= early+earlyHitsPerOutlier*(m.seen-m.hits)
	return m.exceededBy(number, hits) || knownEarly && m.mayBeExceededBy(number)
}

// exceededOnce reports whether a number above the mode is the only other one that was seen, as far as that is known.
func (m *mode) exceededOnce(number uint64) bool {
	return number > m.value && m.hits >= minHitsAtEnd && m.outliers <= 1
}

// Gap is a place of a stream where events may be missing.
type Gap struct {
	// After is the ID of the event before the gap, 0 before the first one, and Distance how far the next one is above it.
	After, Distance uint64
	// Targets is the number of targets that have left it.
	Targets int
	// Usual is the distance that was expected, which was seen Hits times, and others Outliers times.
	Usual          uint64
	Hits, Outliers int
}

// gap returns a gap at a distance that exceeds the mode.
func (m *mode) gap(after, distance uint64, targets int) *Gap {
	return &Gap{After: after, Distance: distance, Targets: targets, Usual: m.value, Hits: m.hits, Outliers: m.outliers}
}

// Sequence checks that the events of a stream go on one from the other.
type Sequence struct {
	numbering *Numbering
	// last is the ID of the last event; empty if the stream has none yet.
	last eventID
	// atStart is set before the first event with an ID, if the stream begins with that.
	atStart bool
	// mayRetry is set if another target may continue the stream.
	mayRetry bool
	// suspected is a gap that other targets left; nil once this one has confirmed it or not. gapConfirmed is set if it has.
	suspected    *Gap
	gapConfirmed bool
	// gap is where the sequence found events missing.
	gap *Gap
	// largerSteps counts the steps above the usual one that are known to be no gaps.
	largerSteps int
	// target is a hash of the ID of the target.
	target uint32
	// sizes are those of the data of its events with usual numbers.
	sizes sizes
	// passed are the larger steps that passed while too little was known.
	passed []passedStep
	// begun is set once an event has passed. secondLast is the ID of the event before the last one, and lastUsual is set if the
	// step from there is the usual one.
	begun      bool
	secondLast eventID
	lastUsual  bool
	// lastDoubtful is set if the last event that passed, rather than the one behind it, may be out of order.
	lastDoubtful bool
}

// passedStep is a step, and the size of the data of the event that it leads to.
type passedStep struct {
	step  uint64
	bytes int
}

// eventID is the ID of an event, as far as it is a number.
type eventID struct {
	// digits are those of a decimal number of any length, without leading zeros; isNumber is set if the ID is one.
	digits   string
	isNumber bool
	// number is its value, if isUint64 is set.
	number   uint64
	isUint64 bool
}

func parseEventID(id string) eventID {
	number, err := strconv.ParseUint(id, 10, 64)
	return eventID{
		digits: strings.TrimLeft(id, "0"), isNumber: id != "" && strings.Trim(id, "0123456789") == "",
		number: number, isUint64: err == nil,
	}
}

// above reports whether one number is above another.
func (id eventID) above(other eventID) bool {
	return cmp.Or(cmp.Compare(len(id.digits), len(other.digits)), strings.Compare(id.digits, other.digits)) > 0
}

// NewSequence returns the check of a stream that goes on after the event last, or begins if last is "". suspected is a gap that
// other targets have left in the stream; it may be nil. mayRetry is set if another target may continue the stream: gaps are
// then suspected sooner, since that target shows whether events are missing. target is a hash of the ID of the target.
func NewSequence(numbering *Numbering, last string, suspected *Gap, mayRetry bool, target uint32) *Sequence {
	numbering.targets.add(target)
	return &Sequence{
		numbering: numbering, last: parseEventID(last), atStart: last == "", suspected: suspected, mayRetry: mayRetry, target: target,
	}
}

// Next checks the next event that has an ID. The error is ErrOrder or ErrGap. IDs that are no numbers pass. A larger step is no gap if the
// event is longer, as others with larger steps are, or if no other target may continue the stream and most targets of the
// service leave such gaps all the time. A gap that two targets leave behind the same event passes, too, unless it is
// of the same size and the service has hardly any: how much an event holds may depend on the load of its target.
func (s *Sequence) Next(e Event) error {
	before, atStart, wasUsual := s.last, s.atStart, s.lastUsual
	s.last, s.atStart, s.lastUsual = parseEventID(e.ID), false, false
	if s.last.isNumber && before.isNumber && !s.last.above(before) {
		s.lastDoubtful = !wasUsual && s.begun && before.above(s.last) &&
			(!s.secondLast.isNumber || s.last.above(s.secondLast))
		return ErrOrder
	}
	s.secondLast, s.begun = before, true
	if !s.last.isUint64 || !before.isUint64 && !atStart {
		return nil
	}
	usual, distance := &s.numbering.step, s.last.number-before.number
	if atStart {
		usual, distance = &s.numbering.first, s.last.number
	}
	explained := false
	if distance > usual.value {
		size := usual.compare(e.DataBytes, &s.sizes)
		usual.larger.add(distance-usual.value, size.excess)
		explained = usual.isExplained(distance, size)
	}
	s.checkGap(usual, before.number, distance, e, explained)
	s.lastUsual = usual.isUsual(distance)
	usual.observe(distance, e.DataBytes, explained)
	if distance == usual.value {
		s.sizes.add(float64(e.DataBytes))
	}
	if s.gap != nil {
		return ErrGap
	}
	return nil
}

// checkGap sets gap if events are missing between two IDs at a distance, of which e is the second one, and the size of its data
// explains the distance or not.
func (s *Sequence) checkGap(usual *usualNumber, after, distance uint64, e Event, explained bool) {
	if known := s.suspected; known != nil && known.After == after {
		s.suspected = nil
		confirmed := distance > usual.value
		s.gapConfirmed = confirmed && (distance != known.Distance || known.Targets > 1 || usual.trusts())
		usual.confirm(confirmed)
		if confirmed && !s.gapConfirmed {
			s.gap = usual.gap(after, distance, known.Targets+1)
			return
		}
	}
	switch {
	case s.gapConfirmed:
	case usual.isKnown() && distance > usual.value && (explained || s.recurs(usual, distance, e)):
		s.largerSteps++
	case usual.isGap(distance, s.mayRetry):
		s.gap = usual.gap(after, distance, 1)
	case usual == &s.numbering.step && usual.seen < minHits:
		s.passed = append(s.passed, passedStep{distance, e.DataBytes})
	}
}

// recurs reports whether a gap passes since no other target may continue the stream, and most targets leave such ones.
func (s *Sequence) recurs(usual *usualNumber, distance uint64, e Event) bool {
	recurs := usual.recurs(sighting{at: e.At, target: s.target, number: distance}, &s.numbering.targets)
	return recurs && !s.mayRetry
}

// End checks a stream that ends as whole. The error is ErrGap if what has been learned meanwhile shows that events are missing.
func (s *Sequence) End() error {
	usual := &s.numbering.step
	for _, p := range s.passed {
		if (usual.isGap(p.step, false) || usual.exceededOnce(p.step)) && !usual.isExplained(p.step, usual.compare(p.bytes, &s.sizes)) {
			return ErrGap
		}
	}
	return nil
}

// LastDoubtful reports whether, after ErrOrder, the last event that passed may have a wrong ID: the refused one goes on from the
// event before that.
func (s *Sequence) LastDoubtful() bool { return s.lastDoubtful }

// LargerSteps returns the number of steps above the usual one that passed, as events were longer or such steps are usual, too.
func (s *Sequence) LargerSteps() int { return s.largerSteps }

// Gap returns where events are missing; nil if Next has not returned ErrGap.
func (s *Sequence) Gap() *Gap { return s.gap }
