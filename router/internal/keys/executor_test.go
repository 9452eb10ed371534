package keys

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
	"github.com/chiveseam/chiveseam/router/internal/entry"
)

// slowTarget is a Doer that executes each request until its EndBy and counts them.
type slowTarget struct{ runs int }

func (s *slowTarget) Do(_ context.Context, req *dispatch.Request, _ dispatch.Sink) *result.Result {
	s.runs++
	time.Sleep(time.Until(req.EndBy))
	return result.New(v1.Code_TARGET_TIMEOUT, v1.Ran_UNKNOWN, "the target was too slow")
}

// newExecutor returns an executor whose keys have the lifetime, and a call with a newly
// issued key. The call's deadlines are later than the end of the lifetime.
func newExecutor(t *testing.T, lifetime time.Duration, doer Doer) (*Executor, *entry.Call) {
	t.Helper()
	is := is.New(t)
	self := requestkey.Member{Name: "router-1", Incarnation: 1}
	e, err := New(self, requestkey.Options{Lifetime: lifetime}, doer, nil, log.NewNopLogger())
	is.NoErr(err)
	key, refusal := e.Issue()
	is.Equal(refusal, nil)
	return e, &entry.Call{
		Context:   t.Context(),
		IssuedKey: key,
		Request: &dispatch.Request{
			Workspace: &v1.Workspace{Name: "small"},
			StartBy:   time.Now().Add(time.Hour),
			EndBy:     time.Now().Add(2 * time.Hour),
		},
	}
}

// If the ledger forgot a key while its request still ran, the same request would be
// executed a second time. So a request with a key ends before the key's lifetime does,
// even if the deadlines of its class are later.
func TestRequestEndsBeforeItsKeyExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const lifetime = 10 * time.Minute
		target := &slowTarget{}
		began := time.Now()
		e, call := newExecutor(t, lifetime, target)
		is.Equal(e.Execute(call, nil).Ran, v1.Ran_UNKNOWN)
		is.True(time.Since(began) < lifetime)
		again := e.Execute(call, nil)
		is.Equal(again.Code, v1.Code_KEY_OUTCOME_UNKNOWN)
		is.Equal(again.Ran, v1.Ran_UNKNOWN)
		is.Equal(target.runs, 1)
	})
}

// answerParts are the parts of the answer of a twoPartTarget.
var answerParts = []string{"a part", ", the last one"}

// twoPartTarget is a Doer that answers in two parts.
type twoPartTarget struct{}

func (twoPartTarget) Do(_ context.Context, req *dispatch.Request, sink dispatch.Sink) *result.Result {
	end := result.New(v1.Code_OK, v1.Ran_YES, "served")
	_ = sink.Head(http.StatusOK, http.Header{}, nil)
	_ = sink.Data([]byte(answerParts[0]))
	req.BeforeEnd(end, []byte(answerParts[1]))
	_ = sink.Data([]byte(answerParts[1]))
	return end
}

// callerSink is a dispatch.Sink that is called with each part of the answer's body.
type callerSink func(part string)

func (callerSink) Head(int, http.Header, *result.Result) error { return nil }

func (c callerSink) Data(p []byte) error {
	c(string(p))
	return nil
}

// A caller that has the last part of an answer and repeats the request at once gets the
// recorded answer, not KEY_IN_PROGRESS. The answer must be recorded before its last part
// is sent. The test repeats the request after each part.
func TestAnswerIsRecordedBeforeLastPartIsSent(t *testing.T) {
	is := is.New(t)
	e, call := newExecutor(t, time.Minute, twoPartTarget{})
	var codes []v1.Code
	var replayed string
	resend := func(string) {
		again := e.Execute(call, callerSink(func(part string) { replayed += part }))
		codes = append(codes, again.Code)
	}
	is.Equal(e.Execute(call, callerSink(resend)).Code, v1.Code_OK)
	resend("")
	is.Equal(codes, []v1.Code{v1.Code_KEY_IN_PROGRESS, v1.Code_REPLAYED, v1.Code_REPLAYED})
	is.Equal(replayed, strings.Repeat(strings.Join(answerParts, ""), 2))
}
