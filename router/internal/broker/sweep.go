package broker

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// sweep ends demands whose deadline passed without a word of the scheduler,
// returns spare slots that expired, and closes idle links.
func (b *Broker) sweep(now time.Time) {
	for _, r := range b.requests {
		if !r.granted && now.After(r.demand.Deadline.Add(answerGrace)) {
			r.link.batch.Cancels = append(r.link.batch.Cancels, r.seq)
			b.refuse(r, result.New(v1.Code_DEADLINE_EXCEEDED, v1.Ran_NO, "no slot was granted in time"))
		}
	}
	b.tellWaiting()
	b.dropExpiredSpares(now)
	b.closeIdleLinks(now)
	b.endAvoidance(now)
}

// tellWaiting tells each link whether demands wait on it.
func (b *Broker) tellWaiting() {
	waiting := map[*link]bool{}
	for _, r := range b.requests {
		if !r.granted {
			waiting[r.link] = true
		}
	}
	for _, l := range b.links {
		l.conn.SetWaiting(waiting[l])
	}
}

// endAvoidance lets roles move back to routers that were passed over.
func (b *Broker) endAvoidance(now time.Time) {
	if b.avoid.end(now) {
		b.replace(now)
	}
}
