package load

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chiveseam/chiveseam/internal/standin/engine"
)

// latency is a histogram of durations with a resolution of microseconds. The zero value
// is empty. It is safe for concurrent use.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

const (
	// Longer durations than maxLatency are recorded as maxLatency.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	_ = l.histogram.RecordValue(min(d, maxLatency).Microseconds())
}

// count returns the number of recorded durations.
func (l *latency) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return l.histogram.TotalCount()
}

// valueAt returns the duration at a percentile between 0 and 100, or 0 if nothing was
// recorded.
func (l *latency) valueAt(percentile float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return time.Duration(l.histogram.ValueAtPercentile(percentile)) * time.Microsecond
}

// violationKind names a guarantee of the routers or targets that was broken. Its text is
// printed in the report.
type violationKind string

const (
	violationTruncated   violationKind = "answer ended cleanly but is short"
	violationWrongAnswer violationKind = "answer to another request"
	violationRepeatedRun violationKind = "non-idempotent call ran more than once"
	violationFalseNotRun violationKind = "told not run, but ran"
	violationFalseServed violationKind = "told served, but did not run"
)

// violationOf returns the kind of violation for an error of engine.CheckAnswer.
func violationOf(err error) violationKind {
	var answerErr *engine.AnswerError
	if errors.As(err, &answerErr) && answerErr.Short {
		return violationTruncated
	}
	return violationWrongAnswer
}

// resultKey identifies a row in the report's table of results.
type resultKey struct {
	code uint32
	name string
	ran  string
}

// recorder collects the results of all workers.
type recorder struct {
	// firstTokenLight and firstTokenBacklogged are the times to the first token, by the
	// kind of load. The other latencies cover both kinds.
	firstTokenLight, firstTokenBacklogged             latency
	betweenTokens, modelAnswerTime, serviceAnswerTime latency

	// mu guards results, violations and operations while workers run. The fields after
	// them are written by verifyLedgers, when the workers have ended.
	mu         sync.Mutex
	results    map[resultKey]int
	violations map[violationKind][]string
	operations []*operation
	// repeatedIdempotent counts the idempotent operations that ran more than once.
	repeatedIdempotent int
	// unknownOperations counts operations in the ledgers that this run did not send.
	// They come from other callers, whose load disturbs the measurement.
	unknownOperations int
	// ledgerErr is set if the ledgers could not be read.
	ledgerErr error
}

func newRecorder() *recorder {
	return &recorder{
		results:    map[resultKey]int{},
		violations: map[violationKind][]string{},
	}
}

// recordFirstToken records the latency of a first token.
func (r *recorder) recordFirstToken(backlogged bool, d time.Duration) {
	if backlogged {
		r.firstTokenBacklogged.record(d)
		return
	}
	r.firstTokenLight.record(d)
}

// recordOutcome counts the outcome of a request and returns it.
func (g *generator) recordOutcome(o outcome) outcome {
	g.recorder.count(o)
	return o
}

// count adds an outcome to the table of results.
func (r *recorder) count(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[resultKey{code: o.code, name: o.name, ran: o.ran}]++
}

// violate records a violation; detail is printed in the report.
func (r *recorder) violate(kind violationKind, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations[kind] = append(r.violations[kind], detail)
}

func (r *recorder) addOperation(op *operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, op)
}

// sortedResults returns the rows of the table of results, ordered by code, name and ran.
func (r *recorder) sortedResults() []resultKey {
	return slices.SortedFunc(maps.Keys(r.results), func(a, b resultKey) int {
		return cmp.Or(cmp.Compare(a.code, b.code), cmp.Compare(a.name, b.name), cmp.Compare(a.ran, b.ran))
	})
}
