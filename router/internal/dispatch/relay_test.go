package dispatch

import (
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// recordingSink records the parts of an answer.
type recordingSink struct{ seen []string }

func (*recordingSink) Head(int, http.Header, *result.Result) error { return nil }

func (s *recordingSink) Data(p []byte) error {
	s.seen = append(s.seen, string(p))
	return nil
}

// BeforeEnd records the answer of a request with a key. It must have the whole answer
// before the caller does, so that a request that the caller sends again afterwards finds
// the record.
func TestBeforeEndIsCalledBeforeTheLastPart(t *testing.T) {
	for _, test := range []struct {
		contentType, body string
		want              []string
	}{
		{"application/json", "whole", []string{"end whole", "whole"}},
		{"text/event-stream", "data: a\n\ndata: [DONE]\n\n", []string{"data: a\n\n", "end data: [DONE]\n\n", "data: [DONE]\n\n"}},
	} {
		is := is.New(t)
		sink := &recordingSink{}
		a := &attempt{
			target:      &v1.Target{},
			prediction:  pool.Prediction{Estimate: math.MaxInt32},
			lastReport:  time.Now(),
			answerBegun: true,
			req: &Request{Pool: &v1.Pool{}, BeforeEnd: func(end *result.Result, last []byte) {
				is.Equal(end.Code, v1.Code_OK)
				sink.seen = append(sink.seen, "end "+string(last))
			}},
		}
		resp := &http.Response{
			StatusCode:    http.StatusOK,
			Header:        http.Header{"Content-Type": {test.contentType}},
			Body:          io.NopCloser(strings.NewReader(test.body)),
			ContentLength: int64(len(test.body)),
		}
		wd := newWatchdog(func(error) {}, time.Minute)
		var err error
		if isEventStream(resp.Header) {
			err = (&stream{attempt: a, sink: sink}).relayConnection(resp, wd)
		} else {
			_, err = a.relayPlain(resp, sink, wd)
		}
		wd.stop()
		is.NoErr(err)
		is.Equal(sink.seen, test.want)
	}
}
