// Package engine stands in for a model engine with the OpenAI wire format.
//
// It batches continuously: each request joins the batch when it arrives,
// whoever sent it. A step of the batch gives each request one token, or a part
// of its prefill. A step takes longer in proportion once the batch is larger
// than the slots of the engine, so that admitting too much slows all requests.
// A prompt whose prefix is in the cache needs less prefill.
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

// Settings describe an engine. Zero values are replaced by defaults.
type Settings struct {
	Name string
	// Slots is the largest batch that runs at full speed.
	Slots int
	// TokensPerSecond is the speed of each request in a batch within Slots.
	TokensPerSecond float64
	// PrefillTokensPerStep is the prefill of a request done in one step.
	PrefillTokensPerStep int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// LoadLag is how far GET /v1/load is behind.
	LoadLag time.Duration
	// ResumeWindow is how long a stream can be resumed after its connection
	// was lost or its last event was sent.
	ResumeWindow time.Duration
	// OmitUsage leaves the usage out of answers.
	OmitUsage bool
	// OnCrash is called for the crash fault. The request's connection is
	// reset when it returns.
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

// stepTime is the duration of a step of a batch within the slots.
func (s Settings) stepTime() time.Duration {
	return time.Duration(float64(time.Second) / s.TokensPerSecond)
}

// errUnknownStream is returned for a stream that is over or never began.
var errUnknownStream = errors.New("unknown stream")

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	settings         Settings
	batch            *batch
	cache            *prefixCache
	load             *loadlog.Log
	faults           fault.Injector
	crashes          atomic.Uint64
	lastStreamNumber atomic.Uint64

	mu      sync.Mutex
	streams map[string]*stream
}

// New returns an idle engine.
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

// SetFaults replaces the plan of faults.
func (e *Engine) SetFaults(plan fault.Plan) {
	e.faults.Set(plan)
}

// Active returns the size of the batch.
func (e *Engine) Active() int {
	return e.batch.size()
}

// Crashes returns how often a request asked the engine to crash.
func (e *Engine) Crashes() uint64 {
	return e.crashes.Load()
}

// Reset forgets all streams and the prefix cache, as a restart does.
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

// startStream admits the request to the batch as a new stream.
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

// attach adds a reader to a stream and puts it back into the batch.
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

// detach removes a reader. A stream without readers leaves the batch and is
// forgotten after the resume window.
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
	time.AfterFunc(e.settings.ResumeWindow, func() { e.forget(s, generation) })
}

// forget drops a stream that nobody attached to since it was detached.
func (e *Engine) forget(s *stream, generation uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.generation == generation {
		delete(e.streams, s.id)
	}
}

// cancel ends a stream for good.
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

// crash runs the crash fault. It does not return.
func (e *Engine) crash(w http.ResponseWriter) {
	e.crashes.Add(1)
	if e.settings.OnCrash != nil {
		e.settings.OnCrash()
	}
	fault.Reset(w)
}
