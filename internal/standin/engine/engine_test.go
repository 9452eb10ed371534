package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
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

const fastTokensPerSecond = 2000 // tokens per second

// start serves a new engine over HTTP until the test ends.
func start(t *testing.T, settings engine.Settings) (*engine.Engine, *httptest.Server) {
	t.Helper()
	e := engine.New(settings)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, server
}

func post(t *testing.T, url, body string) *http.Response {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// chunk holds the fields of an answer, or of a chunk of one, that the tests use.
type chunk struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}
}

// readEvents reads up to limit events of a stream. It returns their text, the ID of the
// last event, whether the stream ended with [DONE], and the last decoded chunk.
func readEvents(t *testing.T, body io.Reader, limit int) (text, lastID string, done bool, last chunk) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	for limit > 0 && scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		limit--
		if data == "[DONE]" {
			return text, lastID, true, last
		}
		last = chunk{}
		if err := json.Unmarshal([]byte(data), &last); err != nil {
			t.Fatal(err)
		}
		if len(last.Choices) > 0 {
			text += last.Choices[0].Delta.Content
		}
	}
	return text, lastID, false, last
}

// Both forms of an answer carry the text that CheckAnswer expects and the right usage.
func TestStreamedAndUnstreamedAnswersMatchThePrompt(t *testing.T) {
	is := is.New(t)
	_, server := start(t, engine.Settings{TokensPerSecond: fastTokensPerSecond})
	prompt := engine.ChatPrompt("user", "hello tokens=7")

	resp := post(t, server.URL+"/v1/chat/completions", `{"messages":[{"role":"user","content":"hello tokens=7"}]}`)
	var unstreamed chunk
	is.NoErr(json.NewDecoder(resp.Body).Decode(&unstreamed))
	is.NoErr(engine.CheckAnswer(prompt, 0, unstreamed.Choices[0].Message.Content))
	is.Equal(unstreamed.Usage.CompletionTokens, 7)

	resp = post(t, server.URL+"/v1/chat/completions",
		`{"messages":[{"role":"user","content":"hello tokens=7"}],"stream":true,"stream_options":{"include_usage":true}}`)
	text, _, done, last := readEvents(t, resp.Body, 100)
	is.True(done)
	is.NoErr(engine.CheckAnswer(prompt, 0, text))
	is.Equal(last.Usage.CompletionTokens, 7)
}

// The load generator reports a truncated answer and an answer to another request as
// different violations, so CheckAnswer must tell them apart.
func TestCheckAnswerDistinguishesTruncatedFromWrongAnswer(t *testing.T) {
	is := is.New(t)
	tokens := engine.AnswerTokens("a tokens=5", 0)
	var answerErr *engine.AnswerError
	is.True(errors.As(engine.CheckAnswer("a tokens=5", 0, tokens[0]), &answerErr))
	is.True(answerErr.Short)
	is.True(errors.As(engine.CheckAnswer("b tokens=5", 0, strings.Join(tokens, "")), &answerErr))
	is.True(!answerErr.Short)
}

// A stream whose connection is lost must not occupy the batch, and a client that resumes
// it must get exactly the events that it missed.
func TestLostStreamLeavesTheBatchAndResumes(t *testing.T) {
	is := is.New(t)
	e, server := start(t, engine.Settings{Name: "e", TokensPerSecond: 200})
	resp := post(t, server.URL+"/v1/chat/completions", `{"messages":[{"role":"user","content":"x tokens=40"}],"stream":true}`)
	first, lastID, _, _ := readEvents(t, resp.Body, 10)
	resp.Body.Close()
	for e.Active() > 0 {
		time.Sleep(time.Millisecond)
	}

	req, err := http.NewRequest(http.MethodGet, server.URL+"/v1/streams/"+resp.Header.Get(engine.StreamIDHeader), nil)
	is.NoErr(err)
	req.Header.Set(engine.LastEventIDHeader, lastID)
	resumed, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resumed.Body.Close()
	rest, _, done, _ := readEvents(t, resumed.Body, 100)
	is.True(done)
	is.NoErr(engine.CheckAnswer(engine.ChatPrompt("user", "x tokens=40"), 0, first+rest))
}

// Guards against a truncate fault that goes unnoticed: if the handler returned normally,
// the chunked body would end cleanly, and the client would take the part for the whole.
func TestTruncatedStreamEndsWithAnError(t *testing.T) {
	is := is.New(t)
	_, server := start(t, engine.Settings{TokensPerSecond: fastTokensPerSecond})
	resp := post(t, server.URL+"/v1/chat/completions",
		`{"messages":[{"role":"user","content":"fault=truncate tokens=8"}],"stream":true}`)
	_, err := io.ReadAll(resp.Body)
	is.True(err != nil)
}

// The request that triggers a crash gets a connection error, not an answer.
func TestCrashResetsTheConnection(t *testing.T) {
	is := is.New(t)
	e, server := start(t, engine.Settings{})
	e.SetFaults(fault.Plan{Kind: fault.Crash, Count: 1})
	_, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"x"}`))
	is.True(err != nil)
	is.Equal(e.Crashes(), uint64(1))
}

// The second of two equal prompts of 649 bytes is reported as cached up to its last full
// block: 10 blocks of 16 tokens.
func TestPrefixInCacheIsReported(t *testing.T) {
	is := is.New(t)
	_, server := start(t, engine.Settings{TokensPerSecond: fastTokensPerSecond})
	body := `{"prompt":"` + strings.Repeat("a", 640) + ` tokens=1"}`
	for _, want := range []int{0, 160} {
		var answer chunk
		resp := post(t, server.URL+"/v1/completions", body)
		is.NoErr(json.NewDecoder(resp.Body).Decode(&answer))
		is.Equal(answer.Usage.Details.Cached, want)
	}
}

// servingTime returns how long an engine with 4 slots takes for n equal requests that
// arrive together.
func servingTime(t *testing.T, n int) time.Duration {
	t.Helper()
	handler := engine.New(engine.Settings{Slots: 4, TokensPerSecond: 100}).Handler()
	began := time.Now()
	results := make(chan int, n)
	for range n {
		go func() {
			recorder := httptest.NewRecorder()
			body := strings.NewReader(`{"prompt":"x tokens=50"}`)
			req := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/completions", body)
			handler.ServeHTTP(recorder, req)
			results <- recorder.Code
		}()
	}
	for range n {
		if code := <-results; code != http.StatusOK {
			t.Errorf("status %d", code)
		}
	}
	return time.Since(began)
}

// A batch within the slots runs at full speed, and one of twice the slots at half of it.
// Without that slowdown, admitting too many requests would cost nothing.
func TestBatchLargerThanSlotsSlowsAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := servingTime(t, 4)
		is.Equal(servingTime(t, 1), full)
		twice := servingTime(t, 8)
		ratio := float64(twice) / float64(full)
		is.True(ratio > 1.9 && ratio <= 2)
		time.Sleep(engine.DefaultResumeWindow)
	})
}
