package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/uptrace/bunrouter"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
	"github.com/chiveseam/chiveseam/internal/standin/loadlog"
	"github.com/chiveseam/chiveseam/internal/standin/serve"
)

const (
	// StreamIDHeader carries the ID under which a stream can be resumed.
	StreamIDHeader = "X-Stream-Id"
	// LastEventIDHeader carries the number of the last event that the client received.
	LastEventIDHeader = "Last-Event-ID"
	streamPath        = "/v1/streams/:" + streamIDParam
	// streamIDParam is the path parameter that holds a stream's ID.
	streamIDParam = "id"
	// slowFactor is the delay of the slow fault in batch steps. It applies to each event
	// of a stream, and once to an answer that is not streamed.
	slowFactor = 20
)

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	router := bunrouter.New()
	router.POST("/v1/chat/completions", serve.Handler(e.postChatCompletions))
	router.POST("/v1/completions", serve.Handler(e.postCompletions))
	router.GET(streamPath, e.getStream)
	router.DELETE(streamPath, e.deleteStream)
	router.GET(loadlog.Path, serve.Handler(e.load.ServeHTTP))
	router.POST("/control/faults", serve.Handler(e.faults.ServeHTTP))
	return router
}

func (e *Engine) postChatCompletions(w http.ResponseWriter, r *http.Request) {
	e.serveCompletion(w, r, true)
}

func (e *Engine) postCompletions(w http.ResponseWriter, r *http.Request) {
	e.serveCompletion(w, r, false)
}

// serveCompletion decodes a request, chooses its fault and answers it, as a chat or as a
// plain completion.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	req, err := decodeRequest(r, chat)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	faultKind := e.faults.Next(r, req.prompt())
	switch faultKind {
	case fault.Crash:
		e.crash(w)
	case fault.Silent:
		fault.Hang(r)
		return
	}
	s := e.startStream(req)
	defer e.detach(s)
	w.Header().Set(StreamIDHeader, s.id)
	if req.Stream {
		e.writeStream(w, r, s, 0, faultKind)
		return
	}
	e.writeUnstreamed(w, r, s, faultKind)
}

// writeUnstreamed sends the answer in one piece once all its tokens are produced.
func (e *Engine) writeUnstreamed(w http.ResponseWriter, r *http.Request, s *stream, faultKind fault.Kind) {
	if err := e.awaitTokens(r, s, len(s.tokens), faultKind); err != nil {
		return
	}
	body, err := json.Marshal(s.unstreamed(strings.Join(s.tokens, "")))
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	switch faultKind {
	case fault.CloseBeforeAnswer:
		fault.Reset(w)
	case fault.Truncate:
		_, _ = w.Write(body[:half])
		flush(w)
		panic(http.ErrAbortHandler)
	case fault.SilentMidStream:
		_, _ = w.Write(body[:half])
		flush(w)
		fault.Hang(r)
		return
	}
	_, _ = w.Write(body)
}

// writeStream sends the events of s that follow event number lastReceived, each as soon
// as its token is produced.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, lastReceived int, faultKind fault.Kind) {
	if faultKind == fault.CloseBeforeAnswer {
		fault.Reset(w)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	flush(w)
	faultEvent := len(s.tokens)/2 + 1
	for i := lastReceived + 1; i <= s.eventCount(); i++ {
		if err := e.awaitTokens(r, s, min(i, len(s.tokens)), faultKind); err != nil {
			return
		}
		if i == faultEvent && injectMidStreamFault(r, faultKind) {
			return
		}
		if err := writeEvent(w, s, i); err != nil {
			return
		}
	}
}

// injectMidStreamFault executes a fault that breaks a stream half-way. It reports
// whether the stream must end; for Truncate it panics with http.ErrAbortHandler instead.
func injectMidStreamFault(r *http.Request, faultKind fault.Kind) bool {
	switch faultKind {
	case fault.Truncate:
		panic(http.ErrAbortHandler)
	case fault.SilentMidStream:
		fault.Hang(r)
		return true
	}
	return false
}

// writeEvent sends event number i of s.
func writeEvent(w http.ResponseWriter, s *stream, i int) error {
	data, err := s.eventData(i)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
		return err
	}
	flush(w)
	return nil
}

// awaitTokens waits until s has produced n tokens. It returns an error if the client
// disconnects first.
func (e *Engine) awaitTokens(r *http.Request, s *stream, n int, faultKind fault.Kind) error {
	if faultKind == fault.Slow {
		if err := sleep(r.Context(), e.settings.stepTime()*slowFactor); err != nil {
			return err
		}
	}
	_, err := e.batch.waitForTokens(r.Context(), s.sequence, n)
	return err
}

// getStream resumes a stream after the event in LastEventIDHeader, or from its start if
// that header is missing or malformed.
func (e *Engine) getStream(w http.ResponseWriter, r bunrouter.Request) error {
	s, err := e.attach(r.Param(streamIDParam))
	if err != nil {
		writeError(w, http.StatusNotFound, err)
		return nil
	}
	defer e.detach(s)
	lastReceived, err := strconv.Atoi(r.Header.Get(LastEventIDHeader))
	if err != nil || lastReceived < 0 {
		lastReceived = 0
	}
	w.Header().Set(StreamIDHeader, s.id)
	e.writeStream(w, r.Request, s, lastReceived, e.faults.Next(r.Request, ""))
	return nil
}

// deleteStream cancels a stream.
func (e *Engine) deleteStream(w http.ResponseWriter, r bunrouter.Request) error {
	if err := e.cancel(r.Param(streamIDParam)); err != nil {
		writeError(w, http.StatusNotFound, err)
		return nil
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}
