package broker

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// sweep refuses demands that got no answer from the scheduler by answerGrace after
// their deadline, returns expired spare slots, closes idle links, and lets shards
// return to routers whose backoff has ended.
func (b *Broker) sweep(now time.Time) {
	for _, r := range b.requests {
		if !r.granted && r.original == nil && now.After(r.demand.Deadline.Add(answerGrace)) {
			r.link.batch.Cancels = append(r.link.batch.Cancels, r.seq)
			b.refuse(r, result.New(v1.Code_DEADLINE_EXCEEDED, v1.Ran_NO, "no slot was granted in time"))
		}
	}
	b.updateWaiting()
	b.dropExpiredSpares(now)
	b.closeIdleLinks(now)
	b.expireBackoffs(now)
}

// updateWaiting tells each link whether demands wait on it.
func (b *Broker) updateWaiting() {
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

// expireBackoffs lets scheduler roles move back to routers whose backoff has ended.
func (b *Broker) expireBackoffs(now time.Time) {
	if b.backoffs.expire(now) {
		b.reassign(now)
	}
}
