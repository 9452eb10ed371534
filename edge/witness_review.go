package edge

import "time"

const (
	// reviewInterval is the time between two checks of answers beside which something has ended, and slowReviewInterval that
	// once a review has taken twice lateEndTime.
	reviewInterval     = overlap
	slowReviewInterval = 50 * time.Millisecond
)

// answerReview is what checks of the connection of an answer have found since something has ended beside it.
type answerReview struct {
	// checks is their number.
	checks int
	// idleSince is when the connection was first found open with nothing to be read; zero if it was not.
	idleSince time.Time
	// caughtUp is set if the first check found that: nothing was on its way then that the router had no room for, and behind which
	// the end of the connection could come late.
	caughtUp bool
}

// add adds a check. It returns for how long the connection is known to have been open with nothing on its way.
func (r *answerReview) add(now time.Time, idle bool) time.Duration {
	r.checks++
	switch {
	case !idle && !r.caughtUp:
		r.idleSince = time.Time{}
	case idle && r.idleSince.IsZero():
		r.idleSince, r.caughtUp = now, r.checks == 1
	}
	if !idle {
		return 0
	}
	return now.Sub(r.idleSince)
}

// underReview reports whether it is not known yet whether the answer goes on after what has ended beside it.
func (a *witnessedAnswer) underReview() bool { return a.ended || a.refused }

// beginReview starts review, unless it runs. w.all.mu is held.
func (w *witness) beginReview() {
	if !w.reviewing {
		w.reviewing = true
		go w.review()
	}
}

// review finds out which answers go on after the witness has ended or the address has refused connections. It returns when nothing is left
// to be found out.
func (w *witness) review() {
	for began := time.Now(); w.check(time.Now()); {
		if time.Since(began) < 2*lateEndTime {
			time.Sleep(reviewInterval)
		} else {
			time.Sleep(slowReviewInterval)
		}
	}
}

// check is one check of review, at a time. It reports whether another one is needed.
func (w *witness) check(now time.Time) bool {
	w.all.mu.Lock()
	leaving := make(map[*upstream]func() bool)
	for u, a := range w.answers {
		if a.underReview() {
			leaving[u] = a.leaves
		}
	}
	w.reviewing = len(leaving) > 0
	w.all.mu.Unlock()
	for u, leaves := range leaving {
		w.checkAnswer(u, now, leaves())
	}
	return len(leaving) > 0
}

// checkAnswer finds out whether an answer goes on. The ends of the connections of a process may come lateEndTime apart, after a lost
// packet. Of a target that leaves it is known that it closes connections before it ends its last answers, so that a short time
// is enough.
func (w *witness) checkAnswer(u *upstream, now time.Time, leaves bool) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	a := w.answers[u]
	if a == nil {
		return
	}
	apart := lateEndTime
	if leaves {
		apart = overlap
	}
	if a.review.add(now, isOpenWithoutInput(u)) < apart {
		return
	}
	if a.ended && !leaves && !a.refused {
		w.all.noteIdleTime(w.address, a.endedAge)
	}
	a.outlived, a.outlivedListener = a.outlived || a.ended, a.outlivedListener || a.refused
	a.ended, a.doubted, a.refused = false, false, false
}
