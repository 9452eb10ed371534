// Package service simulates an HTTP service with operations that must not be repeated. A
// ledger counts the runs of each operation, so that tests can prove that non-idempotent
// operations ran at most once.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
	"github.com/chiveseam/chiveseam/internal/standin/loadlog"
	"github.com/chiveseam/chiveseam/internal/standin/serve"
)

const (
	// RequestHeader carries the name of the operation that a call executes.
	RequestHeader = "X-Client-Request"
	// DurationHeader sets the duration of the run, in milliseconds before it is divided
	// by the speed.
	DurationHeader = "X-Standin-Duration-Ms"
	// maxDuration bounds the duration of a run.
	maxDuration = time.Minute
	// LateDelay is how much later the late fault sends the answer.
	LateDelay = 5 * time.Second
	// slowFactor is how many times longer a run takes with the slow fault.
	slowFactor = 20
	// maxBodyBytes is the part of a call's body that is read. The rest is ignored.
	maxBodyBytes = 8 << 20
)

// Settings configure a service.
type Settings struct {
	Name string
	// Duration is the duration of a run whose call has no DurationHeader.
	Duration time.Duration
	// Speed divides the duration of each run. A value that is not positive stands for 1.
	Speed float64
	// Slots is only reported in GET /v1/load; the service does not limit the calls in
	// progress.
	Slots int
	// LoadLag is the age of the load that GET /v1/load reports.
	LoadLag time.Duration
	// OnCrash, if set, is called for the crash fault. The connection of the call that
	// triggered the fault is reset when OnCrash returns.
	OnCrash func()
}

// Service is a simulated service. It is safe for concurrent use.
type Service struct {
	settings Settings
	ledger   *Ledger
	load     *loadlog.Log
	faults   fault.Injector
}

// New returns a service that records its runs in ledger.
func New(settings Settings, ledger *Ledger) *Service {
	if settings.Speed <= 0 {
		settings.Speed = 1
	}
	return &Service{
		settings: settings,
		ledger:   ledger,
		load:     loadlog.New(settings.Slots, settings.LoadLag),
	}
}

// Answer is the body of the answer to each call.
type Answer struct {
	Service string `json:"service"`
	// Request is the value of RequestHeader.
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// BodySHA256 is the digest of the call's body as BodyDigest returns it.
	BodySHA256 string `json:"body_sha256"`
	// Run is the number of runs of the operation so far, this one included. It is 0 for
	// a call without a name.
	Run int `json:"run"`
}

// BodyDigest returns the SHA-256 digest of a body in hexadecimal.
func BodyDigest(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:])
}

// CheckAnswer returns an error unless text is the complete answer to a call of the
// operation named request with this body.
func CheckAnswer(request string, body, text []byte) error {
	var answer Answer
	if err := json.Unmarshal(text, &answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	if answer.Request != request {
		return fmt.Errorf("answer belongs to request %q", answer.Request)
	}
	if want := BodyDigest(body); answer.BodySHA256 != want {
		return fmt.Errorf("answer belongs to another body: digest %s", answer.BodySHA256)
	}
	return nil
}

// SetFaults replaces the plan of faults for the next calls.
func (s *Service) SetFaults(plan fault.Plan) {
	s.faults.Set(plan)
}

// Handler returns the HTTP interface of the service. Each request is a call, except
// those to GET /v1/load, POST /control/faults and GET /control/ledger.
func (s *Service) Handler() http.Handler {
	calls := serve.Handler(s.serveCall)
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(calls),
		bunrouter.WithMethodNotAllowedHandler(calls),
	)
	router.POST("/control/faults", serve.Handler(s.faults.ServeHTTP))
	router.GET(loadlog.Path, serve.Handler(s.load.ServeHTTP))
	router.GET("/control/ledger", serve.Handler(s.getLedger))
	return router
}

func (s *Service) getLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.ledger.Report())
}

// serveCall reads a call, runs it and answers, with the fault chosen for it.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faultKind := s.faults.Next(r, "")
	if faultKind == fault.Silent {
		fault.Hang(r)
		return
	}
	answer := s.execute(r, body, faultKind)
	s.writeAnswer(w, r, answer, faultKind)
}

// execute records the run of a named operation and waits for its duration. The run
// counts from its start and is completed even if the caller disconnects.
func (s *Service) execute(r *http.Request, body []byte, faultKind fault.Kind) Answer {
	operation := r.Header.Get(RequestHeader)
	run := 0
	if operation != "" {
		run = s.ledger.record(operation)
	}
	s.load.Add(1)
	time.Sleep(s.runDuration(r, faultKind))
	s.load.Add(-1)
	return Answer{
		Service:    s.settings.Name,
		Request:    operation,
		Method:     r.Method,
		Path:       r.URL.Path,
		BodySHA256: BodyDigest(body),
		Run:        run,
	}
}

// runDuration returns the duration of the run that r asks for, at most maxDuration.
func (s *Service) runDuration(r *http.Request, faultKind fault.Kind) time.Duration {
	d := s.settings.Duration
	if ms, err := strconv.ParseUint(r.Header.Get(DurationHeader), 10, 32); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	d = time.Duration(float64(d) / s.settings.Speed)
	if faultKind == fault.Slow {
		d *= slowFactor
	}
	return min(d, maxDuration)
}

// writeAnswer sends answer. Most faults replace, delay or truncate it.
func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, answer Answer, faultKind fault.Kind) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch faultKind {
	case fault.Crash:
		s.crash(w)
	case fault.CloseBeforeAnswer:
		fault.Reset(w)
	case fault.Late:
		sleep(r.Context(), LateDelay)
	case fault.Truncate:
		writeFirstHalf(w, body)
		panic(http.ErrAbortHandler)
	case fault.SilentMidStream:
		writeFirstHalf(w, body)
		fault.Hang(r)
		return
	}
	_, _ = w.Write(body)
}

// crash executes the crash fault: it calls OnCrash and resets the connection of the
// call. It panics with http.ErrAbortHandler and never returns.
func (s *Service) crash(w http.ResponseWriter) {
	if s.settings.OnCrash != nil {
		s.settings.OnCrash()
	}
	fault.Reset(w)
}

// writeFirstHalf sends the first half of body.
func writeFirstHalf(w http.ResponseWriter, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
