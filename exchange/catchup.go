package exchange

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// toleratedLosses is the number of successive reports of a router that may be lost unnoticed: what
	// must reach all routers is stated in more reports than that.
	toleratedLosses = 2
	// questionInterval is the time after which a live member is asked again. Answers take a round trip
	// between availability zones. After quickQuestions without a full answer it is slowQuestionInterval:
	// routers of earlier versions never answer in full.
	questionInterval     = 300 * time.Millisecond
	quickQuestions       = 10
	slowQuestionInterval = 2 * time.Second
	// maxQuestions limits the live members that one report asks, so that their answers do not overflow
	// the receive buffer.
	maxQuestions = 8
	// discoveryTime is the time after a start in which routers that were running are heard: each sends
	// a report to silent members once per silentRetryInterval.
	discoveryTime = silentRetryInterval + 200*time.Millisecond
	// maxCatchUpTime bounds the time for which a router waits for the answer of an informed one.
	maxCatchUpTime = 5 * time.Second
)

// statements is what has come of the statements that another router makes in its reports and answers.
type statements struct {
	// incarnation and sequence are those of the latest report.
	incarnation, sequence uint64
	// missed is set if more than toleratedLosses reports in a row did not come: the router is asked to
	// tell in full what it has stated.
	missed bool
	// questions is the number of questions since the last full answer.
	questions int
	// answer is the number of the latest answer, and parts holds the parts of it that have come; nil
	// once all have.
	answer uint32
	parts  map[uint32]bool
}

// handle records a report or a part of an answer. It returns whether an answer is complete.
func (s *statements) handle(r *v1.LoadReport) (caughtUp bool) {
	if r.Incarnation != s.incarnation {
		*s = statements{incarnation: r.Incarnation}
	}
	if part := r.AnswerPart; part != nil {
		return s.handlePart(part)
	}
	if r.Sequence > s.sequence+toleratedLosses+1 {
		s.missed = true
	}
	s.sequence = max(s.sequence, r.Sequence)
	return false
}

func (s *statements) handlePart(part *v1.AnswerPart) (caughtUp bool) {
	if part.Answer < s.answer || part.Answer == s.answer && s.parts == nil || part.Index >= part.Count {
		return false
	}
	if part.Answer > s.answer {
		s.answer, s.parts = part.Answer, make(map[uint32]bool)
	}
	s.parts[part.Index] = true
	if len(s.parts) < int(part.Count) {
		return false
	}
	s.parts, s.missed, s.questions = nil, false, 0
	s.sequence = max(s.sequence, part.Sequence)
	return true
}

// questionDue reports whether the member is asked again, a time after it was last asked.
func (s *statements) questionDue(since time.Duration) bool {
	interval := questionInterval
	if s.questions >= quickQuestions {
		interval = slowQuestionInterval
	}
	return s.missed && since >= interval
}

// questions returns the live members that the report at now asks for an answer: those whose statements
// were missed, the routers that have been running for longest first, as they know most.
func (m *Members) questions(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	for address, known := range m.members {
		if now.Sub(known.lastHeard) <= m.timeout && known.statements.questionDue(now.Sub(known.lastTried)) {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(m.members[a].statements.incarnation, m.members[b].statements.incarnation), a.Compare(b))
	})
	list = list[:min(len(list), maxQuestions)]
	for _, address := range list {
		m.members[address].lastTried = now
		m.members[address].statements.questions++
	}
	return list
}

// addQuestions marks the recipients that the report at now asks for an answer. A member that gets the
// report through another one, or forwards it, is asked by a second one.
func (m *Members) addQuestions(now time.Time, recipients []Recipient) []Recipient {
	for _, address := range m.questions(now) {
		i := slices.IndexFunc(recipients, func(r Recipient) bool { return r.Address == address && !r.Forward })
		if i < 0 {
			recipients = append(recipients, Recipient{Address: address, Answer: true})
			continue
		}
		recipients[i].Answer = true
	}
	return recipients
}

// Informed reports whether this router knows what the others knew before it started: one that knows it has
// told it, or there seems to be none.
func (m *Members) Informed(now time.Time) bool {
	if m.informed {
		return true
	}
	wait := discoveryTime
	for _, known := range m.members {
		if known.informed && now.Sub(known.lastHeard) <= m.timeout {
			wait = maxCatchUpTime
		}
	}
	m.informed = m.alone && len(m.members) == 0 || now.Sub(m.started) >= wait
	return m.informed
}
