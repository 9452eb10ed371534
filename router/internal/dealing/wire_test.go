package dealing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
)

var (
	self   = pool.Router{Name: "dealer", Incarnation: 5}
	holder = pool.Router{Name: "holder", Incarnation: 3}
)

// Reports and allotments must be the same after the conversion to a message and back. A
// truncated list in a message must not cause a panic.
func TestMessagesCarryAllFields(t *testing.T) {
	is := is.New(t)
	report := deal.Report{
		Shard: 1, Holder: holder, Seq: 2, Dealer: self, Version: 3, Rate: 4, Retired: true,
		Backlogs: []pool.Backlog{{DataCentre: "dc-1", Share: 5, Need: 6, Level: 7, ActiveShare: 8, Active: 9}, {Need: 1}},
		Holdings: []deal.Holding{{Target: 10, Slots: 11, Busy: 12}, {Target: 13, Busy: 14}},
	}
	is.Equal(reportFromMessage(reportMessage(shardOfTwo(1).ID(), report), shardOfTwo(1), holder, self), report)
	allotment := deal.Allotment{
		Shard: 1, Holder: holder, Dealer: self, Version: 2, Answers: 3, Scarce: true,
		Slots: map[config.ID]int{4: 5, 6: 7}, Yield: map[string]int{"": 1, "dc-1": 2},
	}
	message := allotmentMessage(shardOfTwo(1).ID(), allotment)
	is.Equal(allotmentFromMessage(message, shardOfTwo(1), holder, self), allotment)
	message.Slots = message.Slots[:1] // a truncated list
	is.Equal(allotmentFromMessage(message, shardOfTwo(1), holder, self).Slots, map[config.ID]int{4: 5, 6: 0})
}
