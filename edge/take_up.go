package edge

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

const (
	// takeUpInterval is the time after which routers that have not answered are asked again.
	takeUpInterval = originWait / takeUpTries
	// takeUpTries is the number of times that they are asked.
	takeUpTries = 4
	// maxAskedBy limits the routers in an answer, so that it fits into a datagram.
	maxAskedBy = 100
)

// takeUpQuestion asks the other routers whether one of them has gone on with a stream at a service to which its route has come. That
// none has is not concluded from silence, as reports may be lost or this router cut off: more than half of all routers must say so, and
// each one that has asked before. The Edge's mu guards it.
type takeUpQuestion struct {
	stream streams.ID
	// needed is the number of other routers that must answer, and answered holds those that have, with firstQuestion of their starts: none
	// of them knows the stream.
	needed   int
	answered map[netip.AddrPort]uint64
	// askers holds the routers that must answer, since they have asked for the stream before, with the numbers of their questions.
	askers map[netip.AddrPort]uint64
	// done is closed when the answer is known, or after originWait.
	done chan struct{}
}

// settled reports whether no other router has gone on with the stream.
func (q *takeUpQuestion) settled() bool {
	for router, number := range q.askers {
		// One that has started since does not know whether it has gone on.
		if first, ok := q.answered[router]; !ok || number < first {
			return false
		}
	}
	return len(q.answered) >= q.needed
}

// findTakeUp returns where a stream goes on whose route has left the service of its origin, as far as that is known: at any version if
// the services of the route have had one each, or if no other router has gone on with it.
func (e *Edge) findTakeUp(id streams.ID, route *routing.Route, deadline time.Time) (streams.Origin, foundOrigin) {
	if origin, known := e.lookupOrigin(id); known {
		return origin, originKnown
	}
	if e.hasOneVersion(route, deadline) {
		return streams.Origin{}, onlyOneVersion
	}
	settled := e.isNotTakenUp(id, maxQuestions(route))
	if origin, known := e.lookupOrigin(id); known {
		return origin, originKnown
	}
	if settled {
		return streams.Origin{}, notTakenUp
	}
	return streams.Origin{}, originAmbiguous
}

// isNotTakenUp reports whether no other router has gone on with a stream, or false if that is not known in time or if limit questions
// wait for answers.
func (e *Edge) isNotTakenUp(id streams.ID, limit int) bool {
	e.mu.Lock()
	if len(e.takeUps) >= limit {
		e.mu.Unlock()
		return false
	}
	q := e.askForTakeUp(id)
	e.mu.Unlock()
	<-q.done
	e.mu.Lock()
	defer e.mu.Unlock()
	return q.settled()
}

// askForTakeUp asks for a stream. Each request asks anew, as the stream may have gone on since an earlier question. The caller holds
// e.mu.
func (e *Edge) askForTakeUp(id streams.ID) *takeUpQuestion {
	e.takeUpCount++
	routers := e.members.Routers()
	q := &takeUpQuestion{
		stream: id, needed: routers / 2, answered: make(map[netip.AddrPort]uint64), askers: e.takeUpAskers.Of(id), done: make(chan struct{}),
	}
	level.Info(e.logger).Log("event", "stream_take_up_asked", "stream", uint64(id), "routers", routers, "asked_before", len(q.askers))
	e.takeUps[e.takeUpCount] = q
	if q.settled() {
		e.endTakeUpQuestion(e.takeUpCount)
	} else {
		e.sendTakeUpQuestion(e.takeUpCount, takeUpTries)
	}
	return q
}

// sendTakeUpQuestion asks the routers that have not answered a question, some times, and then withdraws it. The caller holds e.mu.
func (e *Edge) sendTakeUpQuestion(number uint64, tries int) {
	q, ok := e.takeUps[number]
	if !ok {
		return
	}
	question := e.baseReport()
	if tries > 0 {
		question.Question, question.WantedStreams = number, []uint64{uint64(q.stream)}
	} else {
		question.WithdrawnQuestion, question.UnknownStreams = number, []uint64{uint64(q.stream)}
	}
	for _, router := range e.members.Running() {
		if _, ok := q.answered[router]; tries == 0 || !ok {
			e.send(question, router)
		}
	}
	if tries == 0 {
		e.endTakeUpQuestion(number)
		return
	}
	time.AfterFunc(takeUpInterval, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sendTakeUpQuestion(number, tries-1)
	})
}

// endTakeUpQuestion continues the request that waits for the answers to a question. The caller holds e.mu.
func (e *Edge) endTakeUpQuestion(number uint64) {
	close(e.takeUps[number].done)
	delete(e.takeUps, number)
}

// firstQuestion returns a number below those of all questions since the start of the router that sent a report.
func firstQuestion(report *v1.LoadReport) uint64 {
	return report.Incarnation * uint64(time.Millisecond)
}

// noteTakeUps applies what the router from asks for or withdraws, or answers to a question of this one. The caller holds e.mu.
func (e *Edge) noteTakeUps(now time.Time, from netip.AddrPort, report *v1.LoadReport) {
	if report.Question > 0 && len(report.WantedStreams) == 1 {
		e.takeUpAskers.Ask(now, streams.ID(report.WantedStreams[0]), from, firstQuestion(report), report.Question)
		return
	}
	if report.WithdrawnQuestion > 0 && len(report.UnknownStreams) == 1 {
		e.withdrawTakeUp(streams.ID(report.UnknownStreams[0]), from, report)
		return
	}
	q, ok := e.takeUps[report.Question]
	if !ok {
		return
	}
	for i, text := range report.AskedBy[:min(len(report.AskedBy), len(report.AskedQuestions))] {
		number := report.AskedQuestions[i]
		asker, err := netip.ParseAddrPort(text)
		if err != nil || text == e.settings.Peer && number >= uint64(e.started.UnixNano()) {
			continue
		}
		if known, ok := q.askers[asker]; !ok || number < known {
			q.askers[asker] = number
		}
	}
	if slices.Contains(report.UnknownStreams, uint64(q.stream)) {
		q.answered[from] = firstQuestion(report)
	}
	if _, known := e.origins.Lookup(q.stream); known || q.settled() {
		e.endTakeUpQuestion(report.Question)
	}
}

// withdrawTakeUp records that the router from has not gone on with a stream, also for the questions of this router that wait for its
// answer. The caller holds e.mu.
func (e *Edge) withdrawTakeUp(id streams.ID, from netip.AddrPort, report *v1.LoadReport) {
	first, last := firstQuestion(report), report.WithdrawnQuestion
	e.takeUpAskers.Withdraw(id, from, first, last)
	for number, q := range e.takeUps {
		if asked, ok := q.askers[from]; !ok || q.stream != id || asked < first || asked > last {
			continue
		}
		delete(q.askers, from)
		if q.settled() {
			e.endTakeUpQuestion(number)
		}
	}
}

// answerTakeUp tells a router that has asked for a stream that this one does not know which routers have asked for it. The caller holds
// e.mu.
func (e *Edge) answerTakeUp(stream uint64, answer *v1.LoadReport) {
	askers := e.takeUpAskers.Of(streams.ID(stream))
	if len(askers) > maxAskedBy {
		return
	}
	answer.UnknownStreams = []uint64{stream}
	for router, number := range askers {
		answer.AskedBy, answer.AskedQuestions = append(answer.AskedBy, router.String()), append(answer.AskedQuestions, number)
	}
}
