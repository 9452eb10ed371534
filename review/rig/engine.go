package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of one engine. It registers itself, checks X-Chiveseam-Target-Instance, echoes the
// request ID, signs its answers and works on a stream until its channel closes.
type engine struct {
	id, service, version, zone string
	slots                      int
	born                       int64
	events                     int
	eventPause                 time.Duration
	// work is the time that a request of a plain service takes.
	work   time.Duration
	store  *store
	record *record

	mu       sync.Mutex
	sequence uint64
	address  string
	server   *http.Server
	// crashPart is a prompt part that crashes the engine once it has begun to answer.
	crashPart string
	// crashing says whether it does so in runs that begin now; nil stands for always.
	crashing func() bool
	// quiet leaves runs out of the record.
	quiet bool
	// crashOn is the path of a request that crashes the engine; onCrash is called then.
	crashOn string
	onCrash func(request string)
	conns   connections
	// left is set once the engine leaves: its answers say so.
	left atomic.Bool
}

const heartbeat = 1200 * time.Millisecond

// start opens the engine's port and registers it.
func (e *engine) start(ip string) error { return e.startAt(ip + ":0") }

// startAt is start for an address.
func (e *engine) startAt(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e.address, e.born = l.Addr().String(), time.Now().UnixMilli()
	e.server = &http.Server{Handler: e, ConnState: e.conns.track}
	go e.server.Serve(l)
	e.register("ready")
	e.record.log("engine %s (%s %s) at %s registered", e.id, e.service, e.version, e.address)
	return nil
}

// register writes the entry of the engine. The stand-in store keeps entries until they are removed, so that
// check-ins that change nothing but the sequence are left out.
func (e *engine) register(state string) {
	e.mu.Lock()
	e.sequence++
	sequence := e.sequence
	e.mu.Unlock()
	e.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": sequence, "born": e.born, "stage": "colocated",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

// leave removes the entry without a word of draining; the engine goes on serving.
func (e *engine) leave() {
	e.left.Store(true)
	e.store.remove("servers/" + e.id)
	e.record.log("engine %s (%s): entry removed, goes on serving", e.id, e.version)
}

// reset ends the engine and resets all its channels.
func (e *engine) reset() {
	e.conns.reset()
	e.server.Close()
}

// exit ends the engine with all its channels.
func (e *engine) exit() {
	e.record.log("engine %s (%s): exits", e.id, e.version)
	e.server.Close()
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Chiveseam-Request-Id")
	if r.URL.Path == "/api/kv-list" {
		fmt.Fprint(w, `{"epoch":1,"next":1,"held":[]}`)
		return
	}
	if id != "" {
		w.Header().Set("X-Chiveseam-Request-Id", id)
	}
	if e.left.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.Header.Get("X-Chiveseam-Target-Instance") != e.id {
		e.record.log("engine %s: request %s is for another engine, 421", e.id, id)
		w.Header().Set("X-Chiveseam-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.quiet {
		e.record.log("engine %s (%s %s): runs %s %s %s, last event %q", e.id, e.service, e.version, id, r.Method, r.URL.Path, r.Header.Get("Last-Event-Id"))
	}
	if e.crashOn != "" && r.URL.Path == e.crashOn {
		e.onCrash(id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Chiveseam-Server-Signature", "signed."+e.id+"."+id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.Header.Get("X-Chiveseam-Prompt-Prefix") != "" {
		e.stream(w, r, id)
		return
	}
	time.Sleep(e.work)
	text := fmt.Sprintf("%s %s %d bytes %s", e.id, id, len(body), strings.Repeat("x", 700))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	fmt.Fprint(w, text)
}

// stream answers with the events after Last-Event-Id.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Chiveseam-Weight-Versions", "1")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	flush := http.NewResponseController(w).Flush
	crash := e.crashPart != "" && (e.crashing == nil || e.crashing()) &&
		strings.Contains(","+r.Header.Get("X-Chiveseam-Prompt-Prefix"), ","+e.crashPart+":")
	for n := first; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.eventPause):
		}
		fmt.Fprintf(w, "id: %d\ndata: engine %s version %s\n\n", n, e.id, e.version)
		if flush() != nil {
			return
		}
		if crash {
			e.onCrash(id)
			panic(http.ErrAbortHandler)
		}
	}
	if !e.quiet {
		e.record.log("engine %s: %s complete", e.id, id)
	}
}
