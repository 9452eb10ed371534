// Package service stands in for a plain service some of whose calls may not be
// repeated. It keeps a ledger of what ran, so that tests can prove that
// non-idempotent work ran at most once.
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
	// RequestHeader names the operation that a call carries out.
	RequestHeader = "X-Client-Request"
	// DurationHeader asks for a duration of the run in milliseconds.
	DurationHeader = "X-Standin-Duration-Ms"
	// maxDuration bounds the duration that a caller may ask for.
	maxDuration = time.Minute
	// LateDelay is how much later the late fault answers.
	LateDelay = 5 * time.Second
	// slowFactor is how many times slower the slow fault runs.
	slowFactor = 20
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 8 << 20
)

// Settings describe a service.
type Settings struct {
	Name string
	// Duration of a run that asks for none.
	Duration time.Duration
	// Speed divides the duration of each run; 0 stands for 1.
	Speed float64
	// Slots is reported in GET /v1/load only; it does not bound anything.
	Slots int
	// LoadLag is how far GET /v1/load is behind.
	LoadLag time.Duration
	// OnCrash is called for the crash fault. The call's connection is reset
	// when it returns.
	OnCrash func()
}

// Service is the stand-in. It is safe for concurrent use.
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

// Answer is the body of each answer.
type Answer struct {
	Service string `json:"service"`
	// Request echoes RequestHeader.
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// BodySHA256 is the digest of the call's body in hexadecimal.
	BodySHA256 string `json:"body_sha256"`
	// Run counts the runs of the operation, this one included.
	Run int `json:"run"`
}

// BodyDigest returns the digest of a body as in Answer.BodySHA256.
func BodyDigest(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:])
}

// CheckAnswer returns an error unless text is the whole answer to the call of
// the named operation with body.
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

// SetFaults replaces the plan of faults.
func (s *Service) SetFaults(plan fault.Plan) {
	s.faults.Set(plan)
}

// Handler returns the HTTP interface of the service: each path outside
// /control/ is a call, but for GET /v1/load.
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

// execute records the run and takes its time. The run counts from its start
// and is carried out also when the caller goes away.
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

// crash runs the crash fault. It does not return.
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
