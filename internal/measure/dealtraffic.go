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
	// nestedBytes is the tag and length of a nested message.
	nestedBytes = 2
)

// dealTraffic counts the messages between holders and the dealer at the sizes
// of protobuf messages with their headers, one in a segment.
type dealTraffic struct {
	reports, allotments int
	bytes               int
	// targets counts the targets that the reports name.
	targets int
}

func (t *dealTraffic) report(r deal.Report) {
	t.reports++
	t.targets += len(r.Holdings)
	t.bytes += frameBytes + segmentHeader + reportBytes(r)
}

func (t *dealTraffic) allotment(a deal.Allotment) {
	t.allotments++
	t.bytes += frameBytes + segmentHeader + allotmentBytes(a)
}

func reportBytes(r deal.Report) int {
	// The pool, the shard, the holder, the dealer and flags.
	n := idBytes + varint(uint64(r.Shard)) + 2*routerBytes + varint(r.Seq) + varint(r.Version) + varint(r.Rate)
	for _, b := range r.Backlogs {
		n += nestedBytes + varint(b.Share) + varint(uint64(b.Need)) + varint(b.Level) + varint(b.ActiveShare) + varint(uint64(b.Active))
		if b.DataCentre != "" {
			n += idBytes
		}
	}
	for _, held := range r.Holdings {
		n += nestedBytes + idBytes + varint(uint64(held.Slots)) + varint(uint64(held.Busy))
	}
	return n
}

func allotmentBytes(a deal.Allotment) int {
	n := idBytes + varint(uint64(a.Shard)) + 2*routerBytes + varint(a.Version) + varint(a.Answers) + varint(1)
	for _, slots := range a.Slots {
		n += slotBytes(slots)
	}
	return n
}

func slotBytes(slots int) int {
	return nestedBytes + idBytes + varint(uint64(slots))
}

// varint is the size of a field with a varint; zero is left out.
func varint(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + protowire.SizeVarint(v)
}
