package e2e

import (
	"io"
	"strings"
	"sync"
	"testing"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// resendsPerRouter is how many requests of each kind are sent and resent through
// each router.
const resendsPerRouter = 100

// sendUntilDone sends a streamed request and returns its answer as soon as the
// event with doneData has arrived. The response body is still open; the caller
// closes it.
func sendUntilDone(t *testing.T, r *router, c call) (answer, io.Closer) {
	t.Helper()
	req, err := newHTTPRequest(t.Context(), r.entry, c)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := callerTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	var body strings.Builder
	part := make([]byte, 512)
	for !strings.Contains(body.String(), doneData) && err == nil {
		var n int
		n, err = resp.Body.Read(part)
		body.Write(part[:n])
	}
	return newAnswer(resp, []byte(body.String()), nil), resp.Body
}

// Guards against KEY_IN_PROGRESS for a caller that has its complete answer and
// sends the request again at once, through another router: it must get the
// recorded answer.
func TestResendImmediatelyAfterAnswerIsReplayed(t *testing.T) {
	forEachKeyKind(t, func(t *testing.T, c *cluster, k keyKind) {
		var wg sync.WaitGroup
		for i, r := range c.routers {
			again := c.routers[(i+1)%len(c.routers)]
			wg.Go(func() {
				for range resendsPerRouter {
					plain, _ := k.addKey(job(newOperationName(t)), r)
					send(r.entry, plain)
					send(again.entry, plain).expect(t, "resend after a plain answer", v1.Code_REPLAYED, v1.Ran_YES)

					streamed, _ := k.addKey(newPrompt(t, 2).call(true), r)
					first, stream := sendUntilDone(t, r, streamed)
					resent := send(again.entry, streamed)
					stream.Close()
					resent.expect(t, "resend after a stream", v1.Code_REPLAYED, v1.Ran_YES)
					if string(first.body) != string(resent.body) {
						t.Errorf("resent answer %q, first %q", resent.body, first.body)
					}
				}
			})
		}
		wg.Wait()
	})
}
