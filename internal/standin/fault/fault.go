// Package fault decides which requests to a simulated target fail, and how.
//
// A fault is planned for the next requests by POST /control/faults, or requested by a
// single request: in the header X-Standin-Fault, or by a word "fault=KIND" in the
// request's text.
package fault

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Kind is the name of a fault, as it is sent in plans and headers.
type Kind string

// The faults. Targets ignore the kinds that they do not implement.
const (
	// None is the absence of a fault.
	None Kind = ""
	// Crash calls the target's OnCrash function, which restarts the target in a
	// deployment, and resets the connection. An engine crashes before it admits the
	// request, a service after it ran.
	Crash Kind = "crash"
	// Silent reads the request, does not run it and never answers.
	Silent Kind = "silent"
	// SilentMidStream sends a part of the answer and nothing more, and keeps the
	// connection open.
	SilentMidStream Kind = "silent-mid-stream"
	// Truncate sends a part of the answer and then closes the connection.
	Truncate Kind = "truncate"
	// Slow answers many times slower than usual.
	Slow Kind = "slow"
	// CloseBeforeAnswer runs the request, then resets the connection without an answer.
	// For a streamed completion, an engine resets it as soon as the request has started.
	CloseBeforeAnswer Kind = "close-before-answer"
	// Late runs the request and answers after a long delay. Engines ignore it.
	Late Kind = "late"
)

const (
	// Header is the request header that names a fault.
	Header = "X-Standin-Fault"
	// wordPrefix starts the word in a request's text that names a fault.
	wordPrefix = "fault="
	// Always is the Count of a plan that applies until it is replaced.
	Always = -1
)

// Plan applies the fault Kind to the next Count requests.
type Plan struct {
	Kind  Kind `json:"kind"`
	Count int  `json:"count"`
}

// Injector holds the current plan of a target. The zero value plans no fault. It is safe
// for concurrent use.
type Injector struct {
	mu   sync.Mutex
	plan Plan
}

// Set replaces the plan.
func (i *Injector) Set(plan Plan) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.plan = plan
}

// Next returns the fault for request r, whose prompt is text. A fault in the header
// comes before one in text, and both come before the plan. Only a planned fault counts
// against the plan.
func (i *Injector) Next(r *http.Request, text string) Kind {
	if kind := r.Header.Get(Header); kind != "" {
		return Kind(kind)
	}
	if kind := kindInText(text); kind != None {
		return kind
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.plan.Count == 0 {
		return None
	}
	if i.plan.Count > 0 {
		i.plan.Count--
	}
	return i.plan.Kind
}

// ServeHTTP replaces the plan by the JSON encoded Plan in the body of r.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var plan Plan
	if err := json.NewDecoder(r.Body).Decode(&plan); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(plan)
	w.WriteHeader(http.StatusNoContent)
}

// kindInText returns the KIND of the first word "fault=KIND" in text, or None.
func kindInText(text string) Kind {
	_, rest, found := strings.Cut(text, wordPrefix)
	if !found {
		return None
	}
	end := strings.IndexFunc(rest, func(c rune) bool {
		return c != '-' && (c < 'a' || c > 'z')
	})
	if end >= 0 {
		rest = rest[:end]
	}
	return Kind(rest)
}

// Hang blocks until the client of r disconnects. The caller must have read the body of
// r: net/http notices a closed connection only after that.
func Hang(r *http.Request) {
	<-r.Context().Done()
}

// Reset closes the connection of an HTTP/1.1 request with a TCP reset, or resets the
// stream of an HTTP/2 request. It panics with http.ErrAbortHandler and never returns.
func Reset(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			ResetConn(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// ResetConn closes conn with a TCP reset. On a connection that is closed already it does
// nothing.
func ResetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// With linger 0 the kernel sends RST in place of FIN.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
