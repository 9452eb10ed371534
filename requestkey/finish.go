package requestkey

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// MayStart reports whether a dispatched request may be sent to a target: more than
// Options.StartReserve of the lifetime of its key must remain. The caller reads now and calls
// MayStart directly before it sends the first byte. If the result is false, the caller must
// not send the request and calls Finish with NO.
func (l *Ledger) MayStart(now time.Time, id ID) bool {
	now = l.advance(now)
	e := l.records.get(id)
	if e == nil || !e.inProgress {
		return false
	}
	return now.Before(e.expires.Add(-l.opts.StartReserve))
}

// Finish ends a dispatched request. NO frees the key, so that this router may dispatch it
// again. YES keeps the answer for replay if it is not nil, not larger than
// Options.MaxAnswerBytes and within Options.MaxBytes; otherwise later requests with the key
// are told that it ran, without the answer. UNKNOWN stays until the key expires. The answer
// must be complete or nil.
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

// Len returns the number of keys that have a record.
func (l *Ledger) Len() int {
	return len(l.records.byID)
}

// Bytes returns the memory of all records, in bytes, which Options.MaxBytes bounds.
func (l *Ledger) Bytes() int {
	return l.records.bytes
}
