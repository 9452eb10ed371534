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

// slowTarget executes requests until their end, as long as they may take.
type slowTarget struct{ runs int }

func (s *slowTarget) Do(_ context.Context, req *dispatch.Request, _ dispatch.Sink) *result.Result {
	s.runs++
	time.Sleep(time.Until(req.EndBy))
	return result.New(v1.Code_TARGET_TIMEOUT, v1.Ran_UNKNOWN, "the target was too slow")
}

// newExecutor returns an executor with a lifetime of keys, and a call under a
// new key.
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

// A request under a key ends while the key is remembered, whatever its class
// allows, and is not executed again.
func TestKeyOutlivesItsRequest(t *testing.T) {
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

// parts are those of the answer of a partedTarget.
var parts = []string{"a part", ", the last one"}

// partedTarget answers in parts.
type partedTarget struct{}

func (partedTarget) Do(_ context.Context, req *dispatch.Request, sink dispatch.Sink) *result.Result {
	end := result.New(v1.Code_OK, v1.Ran_YES, "served")
	_ = sink.Head(http.StatusOK, http.Header{}, nil)
	_ = sink.Data([]byte(parts[0]))
	req.BeforeEnd(end, []byte(parts[1]))
	_ = sink.Data([]byte(parts[1]))
	return end
}

// callerSink calls a function for each part of an answer.
type callerSink func(part string)

func (callerSink) Head(int, http.Header, *result.Result) error { return nil }

func (c callerSink) Data(p []byte) error {
	c(string(p))
	return nil
}

// A request that is sent again after each part of its answer is in progress
// before the last one, and replayed from then on.
func TestAnswerIsRecordedBeforeItsLastPart(t *testing.T) {
	is := is.New(t)
	e, call := newExecutor(t, time.Minute, partedTarget{})
	var codes []v1.Code
	var replayed string
	resend := func(string) {
		again := e.Execute(call, callerSink(func(part string) { replayed += part }))
		codes = append(codes, again.Code)
	}
	is.Equal(e.Execute(call, callerSink(resend)).Code, v1.Code_OK)
	resend("")
	is.Equal(codes, []v1.Code{v1.Code_KEY_IN_PROGRESS, v1.Code_REPLAYED, v1.Code_REPLAYED})
	is.Equal(replayed, strings.Repeat(strings.Join(parts, ""), 2))
}
