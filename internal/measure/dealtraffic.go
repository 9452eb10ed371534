package measure

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/chiveseam/chiveseam/deal"
)

const (
	// idBytes is the size of a name's ID as a fixed field.
	idBytes = 5
	// routerBytes is the size of a router's name ID and incarnation.
	routerBytes = idBytes + 9
	// nestedHeaderBytes is the tag and length of a nested message.
	nestedHeaderBytes = 2
)

// dealTraffic counts the messages between holders and the dealer at the sizes
// of protobuf messages with their headers, one in a segment.
type dealTraffic struct {
	reports, allotments int
	bytes               int
	// targets counts the targets that the reports name.
	targets int
}

func (t *dealTraffic) countReport(r deal.Report) {
	t.reports++
	t.targets += len(r.Holdings)
	t.bytes += drpcFrameBytes + segmentHeaderBytes + reportBytes(r)
}

func (t *dealTraffic) countAllotment(a deal.Allotment) {
	t.allotments++
	t.bytes += drpcFrameBytes + segmentHeaderBytes + allotmentBytes(a)
}

func reportBytes(r deal.Report) int {
	// The pool, the shard, the holder, the dealer and flags.
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

func allotmentBytes(a deal.Allotment) int {
	n := idBytes + varintFieldBytes(uint64(a.Shard)) + 2*routerBytes + varintFieldBytes(a.Version) + varintFieldBytes(a.Answers) + varintFieldBytes(1)
	for _, slots := range a.Slots {
		n += slotBytes(slots)
	}
	return n
}

func slotBytes(slots int) int {
	return nestedHeaderBytes + idBytes + varintFieldBytes(uint64(slots))
}

// varintFieldBytes is the size of a field with a varintFieldBytes; zero is left out.
func varintFieldBytes(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + protowire.SizeVarint(v)
}
