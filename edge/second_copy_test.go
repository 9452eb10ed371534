package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// newSharedAddress returns targets with IDs of their own at one address, as after a start of a process under another ID while the
// registration of the one before has not lapsed.
func newSharedAddress(t *testing.T, ids int, handle func(s *receivedRequest)) []*testTarget {
	targets := []*testTarget{newTestTarget(t, "t1", handle)}
	for n := 2; n <= ids; n++ {
		targets = append(targets, &testTarget{t: t, id: fmt.Sprint("t", n), listener: targets[0].listener})
	}
	return targets
}

// Guards against REFUSED and TWICE: the second copy of the answer to one attempt comes on the connection that the next attempt
// uses, passes for the answer to that, and the request counts as not run, or runs again.
func TestSecondCopyOfAnAnswerIsNotTakenForThatToTheNextAttempt(t *testing.T) {
	for _, first := range []string{"421", "421 T-Not-Run: 1", "503 T-Not-Run: 1", "429 T-Not-Run: 1", "400 T-Not-Run: 1", "500"} {
		for _, maxAttempts := range []int{2, 3, 4} {
			t.Run(fmt.Sprintf("%s/%d", first, maxAttempts), func(t *testing.T) {
				t.Parallel()
				status, mark, _ := strings.Cut(first, " ")
				path := "/once/"
				if mark == "" && status != "421" {
					path = "/idempotent/" // the first attempt has run
				}
				if mark != "" {
					mark += "\r\n"
				}
				answer := fmt.Sprintf("HTTP/1.1 %s X\r\nT-Id: %%ID\r\nT-Signed: y\r\n%sContent-Length: 0\r\n\r\n", status, mark)
				var attempts, ran atomic.Int32
				targets := newSharedAddress(t, maxAttempts, func(s *receivedRequest) {
					if attempts.Add(1) == 1 {
						s.write(answer)
						time.AfterFunc(30*time.Millisecond, func() { s.write(answer) })
						return
					}
					ran.Add(1)
					time.Sleep(100 * time.Millisecond)
					s.answer(http.StatusOK, "done")
				})
				f := newFixture(t, targets...)
				routes := testRoutes()
				for _, r := range routes {
					r.MaxAttempts = maxAttempts
				}
				f.edge.applyTable(routing.NewTable(2, routes, testServices(), routing.Limits{}, map[string]string{"key": "shop"}), Revision{Number: 2})
				resp, body, err := f.client().call("POST", path)
				f.is.NoErr(err)
				f.is.Equal(resp.Status, http.StatusOK)
				f.is.Equal(body, "done")
				f.is.Equal(ran.Load(), int32(1))
			})
		}
	}
}

// The same for a caller that sends a request again under the ID that it had, over which many others pass on the connection
// meanwhile.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	targets := newSharedAddress(t, 2, func(s *receivedRequest) { s.answer(http.StatusOK, "done") })
	f := newFixture(t, targets...)
	c := &call{id: "a"}
	u, err := f.edge.targetConns.get(t.Context(), targets[0].listener.Addr().String(), c.maySendOn)
	f.is.NoErr(err)
	u.noteSent(c.id)
	c.sentOn = append(c.sentOn, u)
	f.is.True(!(&call{id: "a"}).maySendOn(u))
	for n := range 2 * maxSentIDs {
		u.noteSent(fmt.Sprint("other", n))
	}
	f.is.True(!c.maySendOn(u))
	f.edge.targetConns.putNew(u)
	next, err := f.edge.targetConns.get(t.Context(), u.address, c.maySendOn)
	f.is.NoErr(err)
	f.is.True(next != u)
	again, err := f.edge.targetConns.get(t.Context(), u.address, (&call{id: "b"}).maySendOn)
	f.is.NoErr(err)
	f.is.True(again == u)
	next.Close()
	again.Close()
}
