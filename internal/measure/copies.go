package measure

import (
	"slices"

	"github.com/chiveseam/chiveseam/pool"
)

// placed is a demand at the scheduler of another region than its router's.
type placed struct {
	host *host
	seq  uint64
}

// copyDemand sends a waiting demand to another region as well.
func (r *router) copyDemand(h *host, a pool.Copy) {
	q := r.requests[a.ID.Seq]
	other := r.cluster.regionNamed(a.Region).host
	if q == nil || q.granted || q.host != h || q.copyAt(other) >= 0 {
		return
	}
	r.seq++
	q.copies = append(q.copies, placed{other, r.seq})
	r.copies[r.seq] = q
	other.post(r, r.demandOf(q, r.seq, true))
}

func (q *request) copyAt(h *host) int {
	return slices.IndexFunc(q.copies, func(p placed) bool { return p.host == h })
}

// take makes the place that was granted the only one of the request.
func (r *router) take(h *host, q *request, seq uint64) {
	if q.seq != seq {
		q.host.post(r, pool.Cancel{ID: r.demandID(q)})
	}
	for _, p := range q.copies {
		delete(r.copies, p.seq)
		if p.seq != seq {
			p.host.post(r, pool.Cancel{ID: pool.DemandID{Router: r.id, Seq: p.seq}})
		}
	}
	delete(r.requests, q.seq)
	q.copies = nil
	q.seq, q.host = seq, h
	r.requests[seq] = q
}

// dropCopies forgets the copies at a scheduler.
func (r *router) dropCopies(h *host) {
	for _, q := range r.requests {
		if i := q.copyAt(h); i >= 0 {
			delete(r.copies, q.copies[i].seq)
			q.copies = slices.Delete(q.copies, i, i+1)
		}
	}
}
