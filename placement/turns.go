package placement

import "time"

const (
	// maxTurns bounds the requests of one workspace that are remembered as refused.
	maxTurns = 2048
	// turnReserve and lostReserve are the parts of the largest credit that are kept for requests with a
	// turn: the first while others wait for theirs, the second against requests that had no turn.
	turnReserve = 0.5
	lostReserve = 0.9
)

// turns holds the refused requests of one workspace at one router, by the ID of the part of the prompt that
// is unique to each. A request gets a turn, the time at which there is credit for it after all others with a
// turn, or none if that is later than its caller waits. Requests that come before their turn gain nothing, so
// that callers who obey Retry-After are not overtaken.
type turns struct {
	byRequest map[uint64]turn
	// next is the time from which there is credit for no turn.
	next time.Time
}

// turn is the time at which a request may come again; zero if it has none. It is forgotten at expires.
type turn struct {
	at, expires time.Time
}

// reserve returns the part of the largest credit that must remain for others, or the time until the
// request's turn if it has one to come.
func (q *turns) reserve(now time.Time, id uint64) (part float64, wait time.Duration) {
	t, known := q.byRequest[id]
	switch {
	case known && t.at.IsZero():
		return lostReserve, max(min(q.next.Sub(now), time.Second), 0)
	case known:
		return 0, max(t.at.Sub(now), 0)
	case q.next.After(now):
		return turnReserve, 0
	}
	return 0, 0
}

// refuse gives a request a turn, wait from now at the earliest and after all turns given before, if that is
// within longest. length is the time in which there is credit for the request. It returns the time until the
// turn, or longest.
func (q *turns) refuse(now time.Time, id uint64, wait, length, longest time.Duration) time.Duration {
	t, known := q.byRequest[id]
	if known && t.at.IsZero() {
		return longest
	}
	if known {
		t.at = now.Add(wait)
		q.byRequest[id] = t
		return wait
	}
	at := now.Add(wait)
	if q.next.After(at) {
		at = q.next
	}
	t.expires = now.Add(2 * longest)
	if at.Sub(now) <= longest {
		t.at = at
		q.next = at.Add(length)
	}
	q.add(now, id, t)
	return min(at.Sub(now), longest)
}

func (q *turns) add(now time.Time, id uint64, t turn) {
	if q.byRequest == nil {
		q.byRequest = make(map[uint64]turn)
	}
	if len(q.byRequest) >= maxTurns {
		for known, old := range q.byRequest {
			if now.After(old.expires) {
				delete(q.byRequest, known)
			}
		}
	}
	if len(q.byRequest) < maxTurns {
		q.byRequest[id] = t
	}
}
