package measure

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/chiveseam/chiveseam/deal"
)

const (
	// idBytes is the encoded size of an ID as a fixed32 field.
	idBytes = 5
	// routerBytes is the encoded size of the ID of a router's name and its incarnation.
	routerBytes = idBytes + 9
	// nestedHeaderBytes is the size of the tag and length of a nested message.
	nestedHeaderBytes = 2
)

// dealTraffic counts the messages between holders and the dealer. Their bytes are the sizes
// of the encoded protobuf messages with drpc, TCP and IP headers, one message in a segment.
type dealTraffic struct {
	reports, allotments int
	bytes               int
	// targets is the number of targets that the reports name in total.
	targets int
}

// countReport counts a report of a holder.
func (t *dealTraffic) countReport(r deal.Report) {
	t.reports++
	t.targets += len(r.Holdings)
	t.bytes += drpcFrameBytes + segmentHeaderBytes + reportBytes(r)
}

// countAllotment counts an allotment of the dealer.
func (t *dealTraffic) countAllotment(a deal.Allotment) {
	t.allotments++
	t.bytes += drpcFrameBytes + segmentHeaderBytes + allotmentBytes(a)
}

// reportBytes returns the encoded size of a report.
func reportBytes(r deal.Report) int {
	// Pool ID, shard, holder, dealer, sequence number, version and rate.
	n := idBytes + varintFieldBytes(uint64(r.Shard)) + 2*routerBytes + varintFieldBytes(r.Seq) + varintFieldBytes(r.Version) + varintFieldBytes(r.Rate)
	for _, b := range r.Backlogs {
		n += nestedHeaderBytes + varintFieldBytes(b.Share) + varintFieldBytes(uint64(b.Need)) + varintFieldBytes(b.Level) + varintFieldBytes(b.ActiveShare) + varintFieldBytes(uint64(b.Active))
		if b.DataCentre != "" {
			n += idBytes
		}
	}
	for _, held := range r.Holdings {
		n += nestedHeaderBytes + idBytes + varintFieldBytes(uint64(held.Slots)) + varintFieldBytes(uint64(held.Busy))
	}
	return n
}

// allotmentBytes returns the encoded size of an allotment.
func allotmentBytes(a deal.Allotment) int {
	n := idBytes + varintFieldBytes(uint64(a.Shard)) + 2*routerBytes + varintFieldBytes(a.Version) + varintFieldBytes(a.Answers) + varintFieldBytes(1)
	for _, slots := range a.Slots {
		n += slotBytes(slots)
	}
	return n
}

// slotBytes returns the encoded size of the slots of one target in an allotment.
func slotBytes(slots int) int {
	return nestedHeaderBytes + idBytes + varintFieldBytes(uint64(slots))
}

// varintFieldBytes returns the encoded size of a varint field. A field with the value zero
// is left out.
func varintFieldBytes(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + protowire.SizeVarint(v)
}
