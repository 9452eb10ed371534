package keys

import (
	"context"
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

// A request under a key ends while the key is remembered, whatever its class
// allows, and is not executed again.
func TestKeyOutlivesItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const lifetime = 10 * time.Minute
		target := &slowTarget{}
		self := requestkey.Member{Name: "router-1", Incarnation: 1}
		e, err := New(self, requestkey.Options{Lifetime: lifetime}, target, nil, log.NewNopLogger())
		is.NoErr(err)
		key, refusal := e.Issue()
		is.Equal(refusal, nil)
		began := time.Now()
		call := &entry.Call{
			Context:   t.Context(),
			IssuedKey: key,
			Request: &dispatch.Request{
				Workspace: &v1.Workspace{Name: "small"},
				StartBy:   began.Add(time.Hour),
				EndBy:     began.Add(2 * time.Hour),
			},
		}
		is.Equal(e.Execute(call, nil).Ran, v1.Ran_UNKNOWN)
		is.True(time.Since(began) < lifetime)
		again := e.Execute(call, nil)
		is.Equal(again.Code, v1.Code_KEY_OUTCOME_UNKNOWN)
		is.Equal(again.Ran, v1.Ran_UNKNOWN)
		is.Equal(target.runs, 1)
	})
}
