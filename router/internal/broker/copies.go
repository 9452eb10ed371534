package broker

import (
	"strconv"

	"github.com/chiveseam/chiveseam/rendezvous"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// handleFirstByte records that a request's answer has begun and reports it if the
// scheduler has asked.
func (b *Broker) handleFirstByte(in firstByteInput) {
	if r, ok := b.requests[in.seq]; ok {
		r.answerBegun = true
		b.reportFirstByte(r)
	}
}

// handleFirstByteAsk records that the scheduler holds back demands with the same digest
// until the answer of this request begins.
func (b *Broker) handleFirstByteAsk(l *link, seq uint64) {
	if r, ok := b.requests[seq]; ok && r.link == l {
		r.firstByteAsked = true
		b.reportFirstByte(r)
	}
}

// reportFirstByte tells the scheduler once that the answer has begun, if it has asked.
func (b *Broker) reportFirstByte(r *request) {
	if r.firstByteAsked && r.answerBegun {
		r.firstByteAsked = false
		r.link.batch.FirstBytes = append(r.link.batch.FirstBytes, r.seq)
	}
}

// unansweredDigest returns the digest of a request whose answer has not begun, and zero
// for others.
func (r *request) unansweredDigest() uint32 {
	if r.answerBegun {
		return 0
	}
	return r.demand.Digest
}

// mayUseSpare reports whether a demand may start on a spare slot. That happens without
// asking the scheduler, which otherwise bounds how many requests with the same digest
// run before one is answered. Therefore only the router that owns the digest may do so,
// and only while it has no other request with this digest. The same request waiting in
// another region does not count.
func (b *Broker) mayUseSpare(r *request) bool {
	if r.demand.Digest == 0 {
		return true
	}
	for _, other := range b.requests {
		if other.root() != r.root() && other.demand.Digest == r.demand.Digest {
			return false
		}
	}
	return ownsDigest(b.store.Fleet(), r.demand.Digest)
}

// ownsDigest reports whether rendezvous hashing assigns the digest to this router among
// the reachable ones.
func ownsDigest(fleet *state.Fleet, digest uint32) bool {
	names := make([]string, len(fleet.Reachable))
	for i, m := range fleet.Reachable {
		names[i] = m.Name
	}
	owner, ok := rendezvous.Owner(digestKey(digest), names)
	return ok && owner == fleet.Self.Name
}

func digestKey(digest uint32) string {
	return "digest/" + strconv.FormatUint(uint64(digest), 16)
}
