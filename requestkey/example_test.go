package requestkey_test

import (
	"fmt"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
)

// A caller sends a booking twice with a key that the router issued.
func Example() {
	self := requestkey.Member{Name: "router-1", Incarnation: 1}
	ledger, err := requestkey.New(self, requestkey.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	key := ledger.Issue(now, [requestkey.RandomBytes]byte{})
	req := requestkey.Request{ID: requestkey.ID{Workspace: "school", Key: key}, Digest: 7}

	first := ledger.Begin(now, req)
	fmt.Println(first.Action == requestkey.Dispatch, ledger.MayStart(now, req.ID))
	again := ledger.Begin(now, req)
	fmt.Println(again.Code, again.Ran)
	ledger.Finish(now, req.ID, v1.Ran_YES, &requestkey.Answer{Status: 201, Body: []byte("booked")})
	replay := ledger.Begin(now, req)
	fmt.Println(replay.Code, replay.Ran, string(replay.Answer.Body))
	// Output:
	// true true
	// KEY_IN_PROGRESS UNKNOWN
	// REPLAYED YES booked
}
