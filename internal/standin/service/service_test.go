package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
	"github.com/chiveseam/chiveseam/internal/standin/service"
)

// call sends one operation with PUT and returns the body of the answer.
func call(url, operation, body string) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPut, url+"/orders/7", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(service.RequestHeader, operation)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// CheckAnswer must accept the answer to a call and reject the answer to another
// operation or another body.
func TestAnswerEchoesTheCall(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(service.New(service.Settings{}, service.NewLedger()).Handler())
	defer server.Close()
	text, err := call(server.URL, "op-1", "banner")
	is.NoErr(err)
	is.NoErr(service.CheckAnswer("op-1", []byte("banner"), text))
	is.True(service.CheckAnswer("op-2", []byte("banner"), text) != nil)
	is.True(service.CheckAnswer("op-1", []byte("poster"), text) != nil)
}

// A run whose answer is lost is counted all the same, so that its repetition shows as a
// double run.
func TestLedgerCountsRunsWithoutAnswer(t *testing.T) {
	is := is.New(t)
	ledger := service.NewLedger()
	s := service.New(service.Settings{}, ledger)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	s.SetFaults(fault.Plan{Kind: fault.CloseBeforeAnswer, Count: 1})
	_, err := call(server.URL, "op", "")
	is.True(err != nil)
	is.Equal(ledger.Report().Runs["op"], 1)
	is.Equal(len(ledger.Report().Doubles), 0)
	_, err = call(server.URL, "op", "")
	is.NoErr(err)
	is.Equal(ledger.Report().Doubles, map[string]int{"op": 2})
}

// The late fault must delay the answer by exactly LateDelay after the run and send all
// of it.
func TestLateAnswerIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := service.New(service.Settings{}, service.NewLedger())
		s.SetFaults(fault.Plan{Kind: fault.Late, Count: fault.Always})
		began := time.Now()
		recorder := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodPost, "/orders", nil)
		req.Header.Set(service.DurationHeader, "250")
		s.Handler().ServeHTTP(recorder, req)
		is.NoErr(service.CheckAnswer("", nil, recorder.Body.Bytes()))
		is.Equal(time.Since(began), 250*time.Millisecond+service.LateDelay)
	})
}
