// Package fault chooses which requests of a stand-in fail and how.
//
// A fault is planned for the next requests through a control call, or is
// asked for by one request: in the header X-Standin-Fault, or by a word
// "fault=KIND" in the request's text.
package fault

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Kind names a fault.
type Kind string

// The faults. A stand-in ignores the kinds that it has no use for.
const (
	None Kind = ""
	// Crash ends the target while it executes the request.
	Crash Kind = "crash"
	// Silent accepts the request and never answers.
	Silent Kind = "silent"
	// SilentMidStream sends a part of the answer and then nothing more.
	SilentMidStream Kind = "silent-mid-stream"
	// Truncate sends a part of the answer and closes the connection.
	Truncate Kind = "truncate"
	// Slow answers many times slower than usual.
	Slow Kind = "slow"
	// CloseBeforeAnswer executes the request and closes the connection.
	CloseBeforeAnswer Kind = "close-before-answer"
	// Late executes the request and answers after a long time.
	Late Kind = "late"
)

const (
	// Header asks for a fault in a request.
	Header = "X-Standin-Fault"
	// wordPrefix starts the word that asks for a fault in a request's text.
	wordPrefix = "fault="
	// Always is the count of a plan that applies until it is replaced.
	Always = -1
)

// Plan applies a fault to the next Count requests.
type Plan struct {
	Kind  Kind `json:"kind"`
	Count int  `json:"count"`
}

// Injector holds the plan of a stand-in. The zero value plans no fault. It is
// safe for concurrent use.
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

// Next returns the fault of the request r with the given text.
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

// ServeHTTP replaces the plan by the JSON form of a Plan.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var plan Plan
	if err := json.NewDecoder(r.Body).Decode(&plan); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(plan)
	w.WriteHeader(http.StatusNoContent)
}

// kindInText returns the fault that a word of text asks for.
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

// Hang blocks until the caller of r goes away. The body of r must be read
// before, since net/http notices a closed connection only then.
func Hang(r *http.Request) {
	<-r.Context().Done()
}

// Reset closes the connection of an HTTP/1.1 request with a TCP reset, or
// resets the stream of an HTTP/2 request. It does not return.
func Reset(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			ResetConn(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// ResetConn closes a connection with a reset. One that is closed already stays so.
func ResetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// With linger 0 the kernel sends RST in place of FIN.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
