package edge

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against MIXED: the process of a target ends in the middle of an answer with neither a length nor chunks,
// which closes the connection, and the caller gets the part that came as a whole answer.
func TestUnframedAnswerOfADeadTargetIsIncomplete(t *testing.T) {
	for name, part := range map[string]string{"no body": "", "short body": "hel"} {
		for _, status := range []string{"200", "404", "500"} {
			t.Run(name+status, func(t *testing.T) {
				var starts atomic.Int32
				handle := func(s *receivedRequest) {
					if starts.Add(1) == 1 {
						s.write("HTTP/1.1 " + status + " X\r\nT-Id: %ID\r\nT-Signed: y\r\n\r\n" + part)
						s.target.crash()
						return
					}
					s.answer(http.StatusOK, "hello")
				}
				f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
				resp, _, err := f.client().call("POST", "/once/")
				f.is.NoErr(err)
				f.is.Equal(resp.Status, http.StatusBadGateway)
				f.is.Equal(ranHeader(resp), "UNKNOWN")
				f.is.Equal(starts.Load(), int32(1))

				starts.Store(0)
				f = newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
				resp, body, err := f.client().call("POST", "/idempotent/")
				f.is.NoErr(err)
				f.is.Equal(resp.Status, http.StatusOK)
				f.is.Equal(body, "hello")
				f.is.Equal(starts.Load(), int32(2))
			})
		}
	}
}

// An answer with neither a length nor chunks is complete if its target goes on.
func TestUnframedAnswerIsDelivered(t *testing.T) {
	for _, path := range []string{"/once/", "/idempotent/"} {
		for _, body := range []string{"", "hello"} {
			f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
				s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\n\r\n" + body)
				s.conn.Close()
			}))
			resp, got, err := f.client().call("POST", path)
			f.is.NoErr(err)
			f.is.Equal(resp.Status, http.StatusOK)
			f.is.Equal(got, body)
		}
	}
}
