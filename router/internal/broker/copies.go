package broker

import (
	"strconv"

	"github.com/chiveseam/chiveseam/rendezvous"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// firstByte notes that the answer of a request has begun, and tells the
// scheduler if it has asked.
func (b *Broker) firstByte(in firstByteInput) {
	if r, ok := b.requests[in.seq]; ok {
		r.answering = true
		b.tellFirstByte(r)
	}
}

// firstByteAsked takes in that copies of a request wait for its answer.
func (b *Broker) firstByteAsked(l *link, seq uint64) {
	if r, ok := b.requests[seq]; ok && r.link == l {
		r.asked = true
		b.tellFirstByte(r)
	}
}

func (b *Broker) tellFirstByte(r *request) {
	if r.asked && r.answering {
		r.asked = false
		r.link.batch.FirstBytes = append(r.link.batch.FirstBytes, r.seq)
	}
}

// openDigest returns the digest of a request whose answer has not begun.
func (r *request) openDigest() uint32 {
	if r.answering {
		return 0
	}
	return r.demand.Digest
}

// maySpare reports whether a demand may start without asking the scheduler,
// which bounds the copies of a request. Only one router may start a digest so, and
// only if it has no other copy of it.
func (b *Broker) maySpare(r *request) bool {
	if r.demand.Digest == 0 {
		return true
	}
	for _, other := range b.requests {
		if other != r && other.demand.Digest == r.demand.Digest {
			return false
		}
	}
	return ownsDigest(b.store.Fleet(), r.demand.Digest)
}

// ownsDigest reports whether the router owns a digest among the reachable ones.
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
