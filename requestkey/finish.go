package requestkey

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// MayStart reports whether a dispatched request may be sent to a target. It is
// called directly before the first byte leaves, with a fresh time. If it
// returns false the request must not be sent and Finish is called with NO.
func (l *Ledger) MayStart(now time.Time, id ID) bool {
	now = l.advance(now)
	e := l.records.get(id)
	if e == nil || !e.inProgress {
		return false
	}
	return now.Before(e.expires.Add(-l.opts.StartReserve))
}

// Finish ends a dispatched request. NO frees the key for another dispatch by
// this router. YES records the answer, if it is whole and not larger than
// Options.MaxAnswerBytes; otherwise later requests with the key are told that
// it ran without its answer. UNKNOWN stays until the key expires.
func (l *Ledger) Finish(now time.Time, id ID, ran v1.Ran, answer *Answer) {
	l.advance(now)
	e := l.records.get(id)
	if e == nil || !e.inProgress {
		return
	}
	e.inProgress = false
	switch ran {
	case v1.Ran_NO:
		l.records.remove(e)
	case v1.Ran_YES:
		e.ran = v1.Ran_YES
		l.records.setAnswer(e, answer)
	default:
		e.ran = v1.Ran_UNKNOWN
	}
}

// Len returns the number of keys that are remembered.
func (l *Ledger) Len() int {
	return len(l.records.byID)
}

// Bytes returns the memory of the records, in bytes.
func (l *Ledger) Bytes() int {
	return l.records.bytes
}
