package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/internal/standin/engine"
	"github.com/chiveseam/chiveseam/internal/standin/fault"
)

// requestTimeout is how long a request waits for an answer that never comes.
const requestTimeout = 200 * time.Millisecond

// postWithFault sends a request that asks for a fault and reads the answer until it ends
// or requestTimeout has passed.
func postWithFault(t *testing.T, kind fault.Kind, stream string) (body string, err error) {
	t.Helper()
	_, server := start(t, engine.Settings{TokensPerSecond: fastTokensPerSecond})
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request := `{"prompt":"x tokens=8","stream":` + stream + `}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/completions", strings.NewReader(request))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(fault.Header, string(kind))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// A client must see an error for each fault that loses a part of the answer. An answer
// that ended cleanly would pass as a complete one.
func TestFaultsNeverEndAnAnswerCleanly(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		for kind, want := range map[fault.Kind]struct{ part, silent bool }{
			fault.Crash:             {},
			fault.Silent:            {silent: true},
			fault.SilentMidStream:   {part: true, silent: true},
			fault.Truncate:          {part: true},
			fault.CloseBeforeAnswer: {},
		} {
			t.Run(string(kind)+" stream="+stream, func(t *testing.T) {
				is := is.New(t)
				body, err := postWithFault(t, kind, stream)
				is.True(err != nil)
				is.Equal(errors.Is(err, context.DeadlineExceeded), want.silent)
				is.Equal(body != "", want.part)
			})
		}
	}
}

// The slow fault must delay every event of a stream, not just the first, and must not
// truncate the answer.
func TestSlowFaultDelaysTheWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engine.New(engine.Settings{TokensPerSecond: 100})
		e.SetFaults(fault.Plan{Kind: fault.Slow, Count: 1})
		var took [2]time.Duration
		for i := range took {
			began := time.Now()
			recorder := httptest.NewRecorder()
			body := strings.NewReader(`{"prompt":"x tokens=8","stream":true}`)
			e.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/completions", body))
			is.True(strings.HasSuffix(recorder.Body.String(), "data: [DONE]\n\n"))
			took[i] = time.Since(began)
		}
		is.True(took[0] > 10*took[1])
		time.Sleep(engine.DefaultResumeWindow)
	})
}
