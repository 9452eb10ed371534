// Package engine simulates a model inference engine that speaks the OpenAI HTTP API.
//
// It batches continuously: each request joins the batch as soon as it arrives, whoever
// sent it. A step of the batch processes a part of each request's prompt or produces one
// token of its answer. A batch that is larger than the engine's slots takes
// proportionally longer for each step, so that admitting too many requests slows all of
// them. A prompt whose prefix is cached needs less prefill. Answers are computed from
// the prompt by AnswerTokens, so that clients can check them.
package engine

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
	"github.com/chiveseam/chiveseam/internal/standin/loadlog"
)

// Settings configure an engine. Numbers and durations that are not positive are replaced
// by defaults, except LoadLag.
type Settings struct {
	// Name is the prefix of stream IDs.
	Name string
	// Slots is the largest batch that runs at full speed.
	Slots int
	// TokensPerSecond is the speed of each request in a batch within Slots.
	TokensPerSecond float64
	// PrefillTokensPerStep is the number of prompt tokens of each request processed in
	// one step.
	PrefillTokensPerStep int
	// CacheTokens is the size of the prefix cache in prompt tokens.
	CacheTokens int
	// LoadLag is the age of the load that GET /v1/load reports.
	LoadLag time.Duration
	// ResumeWindow is how long a stream can be resumed after its last connection was
	// lost or its last event was sent.
	ResumeWindow time.Duration
	// OmitUsage leaves the token usage out of answers.
	OmitUsage bool
	// OnCrash, if set, is called for the crash fault. The connection of the request that
	// triggered the fault is reset when OnCrash returns.
	OnCrash func()
}

// Defaults of Settings.
const (
	DefaultSlots                = 8
	DefaultTokensPerSecond      = 100
	DefaultPrefillTokensPerStep = 512
	DefaultCacheTokens          = 64 << 10
	DefaultResumeWindow         = 10 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.Slots <= 0 {
		s.Slots = DefaultSlots
	}
	if s.TokensPerSecond <= 0 {
		s.TokensPerSecond = DefaultTokensPerSecond
	}
	if s.PrefillTokensPerStep <= 0 {
		s.PrefillTokensPerStep = DefaultPrefillTokensPerStep
	}
	if s.CacheTokens <= 0 {
		s.CacheTokens = DefaultCacheTokens
	}
	if s.ResumeWindow <= 0 {
		s.ResumeWindow = DefaultResumeWindow
	}
	return s
}

// stepTime returns the duration of a step of a batch that fits in the slots.
func (s Settings) stepTime() time.Duration {
	return time.Duration(float64(time.Second) / s.TokensPerSecond)
}

// errUnknownStream is returned for the ID of a stream that does not exist: it was never
// started, was cancelled or lost in a crash, or its resume window is over.
var errUnknownStream = errors.New("unknown stream")

// Engine is a simulated engine. It is safe for concurrent use.
type Engine struct {
	settings         Settings
	batch            *batch
	cache            *prefixCache
	load             *loadlog.Log
	faults           fault.Injector
	crashes          atomic.Uint64
	lastStreamNumber atomic.Uint64

	// mu guards streams, the streams in progress or in their resume window by ID. It
	// also guards the readers and generation fields of each stream.
	mu      sync.Mutex
	streams map[string]*stream
}

// New returns an engine without requests.
func New(settings Settings) *Engine {
	settings = settings.withDefaults()
	load := loadlog.New(settings.Slots, settings.LoadLag)
	return &Engine{
		settings: settings,
		batch:    newBatch(settings.Slots, settings.stepTime(), settings.PrefillTokensPerStep, load.Record),
		cache:    newPrefixCache(settings.CacheTokens / blockTokens),
		load:     load,
		streams:  map[string]*stream{},
	}
}

// SetFaults replaces the plan of faults for the next requests.
func (e *Engine) SetFaults(plan fault.Plan) {
	e.faults.Set(plan)
}

// Active returns the number of requests in the batch.
func (e *Engine) Active() int {
	return e.batch.size()
}

// Crashes returns how many requests triggered the crash fault.
func (e *Engine) Crashes() uint64 {
	return e.crashes.Load()
}

// Reset discards all streams and the prefix cache, as a restart of the engine does.
func (e *Engine) Reset() {
	e.mu.Lock()
	streams := e.streams
	e.streams = map[string]*stream{}
	e.mu.Unlock()
	for _, s := range streams {
		e.batch.leave(s.sequence)
	}
	e.cache.clear()
}

// startStream adds the request to the batch as a new stream with one reader.
func (e *Engine) startStream(req *completionRequest) *stream {
	prompt := req.prompt()
	cachedTokens := e.cache.add(prompt)
	promptTokens := PromptTokens(prompt)
	s := &stream{
		id:           fmt.Sprintf("%s-%d", e.settings.Name, e.lastStreamNumber.Add(1)),
		created:      time.Now().Unix(),
		request:      req,
		tokens:       AnswerTokens(prompt, req.maxTokens()),
		cachedTokens: cachedTokens,
		promptTokens: promptTokens,
		readers:      1,
		sequence:     newSequence(promptTokens - cachedTokens),
	}
	s.sequence.total = len(s.tokens)
	s.withUsage = !e.settings.OmitUsage
	e.mu.Lock()
	e.streams[s.id] = s
	e.mu.Unlock()
	e.batch.join(s.sequence)
	return s
}

// attach adds a reader to a stream and lets it join the batch again. It returns
// errUnknownStream if the stream does not exist.
func (e *Engine) attach(id string) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return nil, errUnknownStream
	}
	s.readers++
	s.generation++
	e.batch.join(s.sequence)
	return s, nil
}

// detach removes a reader of a stream. A stream without readers leaves the batch, and is
// deleted after the resume window unless a reader attaches before.
func (e *Engine) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 {
		return
	}
	e.batch.leave(s.sequence)
	s.generation++
	generation := s.generation
	time.AfterFunc(e.settings.ResumeWindow, func() { e.expire(s, generation) })
}

// expire deletes a stream at the end of its resume window, unless a reader has attached
// or detached since the given generation.
func (e *Engine) expire(s *stream, generation uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.generation == generation {
		delete(e.streams, s.id)
	}
}

// cancel deletes a stream and removes it from the batch. It returns errUnknownStream if
// the stream does not exist.
func (e *Engine) cancel(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return errUnknownStream
	}
	delete(e.streams, id)
	e.batch.leave(s.sequence)
	return nil
}

// crash executes the crash fault: it calls OnCrash and resets the connection of the
// request. It panics with http.ErrAbortHandler and never returns.
func (e *Engine) crash(w http.ResponseWriter) {
	e.crashes.Add(1)
	if e.settings.OnCrash != nil {
		e.settings.OnCrash()
	}
	fault.Reset(w)
}
