package measure

import (
	"slices"

	"github.com/chiveseam/chiveseam/pool"
)

// tiedDemand is the copy of a demand at the scheduler of another region than its router's.
type tiedDemand struct {
	host *host
	seq  uint64
}

// tieDemand carries out a pool.Tie: it sends a copy of a waiting demand to another region.
func (r *router) tieDemand(h *host, a pool.Tie) {
	q := r.requests[a.ID.Seq]
	other := r.cluster.regionNamed(a.Region).host
	if q == nil || q.granted || q.host != h || q.tieIndex(other) >= 0 {
		return
	}
	r.seq++
	q.ties = append(q.ties, tiedDemand{other, r.seq})
	r.ties[r.seq] = q
	other.sendToScheduler(r, r.newDemand(q, r.seq, true))
}

// tieIndex returns the index of the copy at the scheduler in q.ties, or -1.
func (q *request) tieIndex(h *host) int {
	return slices.IndexFunc(q.ties, func(p tiedDemand) bool { return p.host == h })
}

// cancelOtherDemands cancels all demands of the request except the one with the number at the
// scheduler, which becomes the request's only demand.
func (r *router) cancelOtherDemands(h *host, q *request, seq uint64) {
	if q.seq != seq {
		q.host.sendToScheduler(r, pool.Cancel{ID: r.demandID(q)})
	}
	for _, p := range q.ties {
		delete(r.ties, p.seq)
		if p.seq != seq {
			p.host.sendToScheduler(r, pool.Cancel{ID: pool.DemandID{Router: r.id, Seq: p.seq}})
		}
	}
	delete(r.requests, q.seq)
	q.ties = nil
	q.seq, q.host = seq, h
	r.requests[seq] = q
}

// dropTies removes the copies at a scheduler without cancelling them there.
func (r *router) dropTies(h *host) {
	for _, q := range r.requests {
		if i := q.tieIndex(h); i >= 0 {
			delete(r.ties, q.ties[i].seq)
			q.ties = slices.Delete(q.ties, i, i+1)
		}
	}
}
