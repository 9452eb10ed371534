package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine stands in for a sound engine. It writes its registration at each heartbeat, serves one request at a time on a
// channel, answers 421 to a request that names another engine, and says its start in all that it says of itself.
type engine struct {
	id, service, address, zone, version string
	model                               bool
	slots                               int
	born                                int64
	// unframed is set if its answers have neither a length nor chunks, and end with their channel.
	unframed bool
	// events and pause are the events of a stream and the time before each of them.
	events int
	pause  time.Duration
	// idleTime is the time after which it closes an idle channel.
	idleTime time.Duration
	// work is the time that a request takes at an application server.
	work time.Duration
	// errorShare is the share of its requests, in percent, that it runs and answers with its own 500.
	errorShare atomic.Int64
	// repeatsRejections is set if it sends an answer that rejects a request a second time, up to extraDelay later.
	repeatsRejections atomic.Bool
	store             *store
	record            *recorder

	mu       sync.Mutex
	sequence int
	beatAt   time.Time
	state    string
	running  atomic.Int64
	stopped  chan struct{}
	listener net.Listener
	// idle holds the channels without a request, and leaving is set once the engine accepts no more.
	idle    map[net.Conn]bool
	leaving bool
}

// extraDelay is the longest time from an answer to its second copy.
const extraDelay = 30 * time.Millisecond

// noticePath is the prefix of the streams of the application servers.
const noticePath = "/nota220/"

const heartbeat = 1200 * time.Millisecond

func (e *engine) start() error {
	e.born, e.state, e.stopped, e.idle = time.Now().UnixMilli(), "ready", make(chan struct{}), map[net.Conn]bool{}
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	e.beat()
	go func() {
		for {
			select {
			case <-e.stopped:
				l.Close()
				return
			case <-time.After(heartbeat):
				e.beat()
			}
		}
	}()
	return nil
}

// beat writes the registration.
func (e *engine) beat() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state,
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	})
	e.beatAt = e.store.put("servers/"+e.id, value)
	return e.beatAt
}

// wholeWrites is a channel on which answers do not mix.
type wholeWrites struct {
	net.Conn
	mu sync.Mutex
}

func (c *wholeWrites) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Conn.Write(p)
}

// reject writes an answer that rejects a request, and perhaps again somewhat later.
func (e *engine) reject(conn net.Conn, id, answer string) error {
	_, err := io.WriteString(conn, answer)
	if err == nil && e.repeatsRejections.Load() {
		go func() {
			time.Sleep(time.Duration(rand.Int64N(int64(extraDelay))))
			if _, err := io.WriteString(conn, answer); err == nil {
				e.record.run(id, e.id, "answered a second time")
			}
		}()
	}
	return err
}

// setIdle notes that a channel has no request, or has one. It returns false for a channel that is to be closed.
func (e *engine) setIdle(conn net.Conn, idle bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if idle && e.leaving {
		return false
	}
	e.idle[conn] = idle
	return true
}

// leave is a planned shutdown: the engine reports that it drains and serves on, drain_ms and some time longer. Then it
// accepts no more, answers in full what it has begun, and exits.
func (e *engine) leave(drain, linger time.Duration) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	at := e.beat()
	e.record.note("engine %s: the store has accepted that it drains", e.id)
	time.Sleep(time.Until(at.Add(drain + linger)))
	e.mu.Lock()
	e.leaving = true
	e.listener.Close()
	for conn, idle := range e.idle {
		if idle {
			conn.Close()
		}
	}
	e.mu.Unlock()
	e.record.note("engine %s accepts no more, %d requests still run", e.id, e.running.Load())
	for e.running.Load() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	close(e.stopped)
	e.store.remove("servers/" + e.id)
	e.record.note("engine %s has exited", e.id)
}

// lapseTime is the silence after which the store removes an entry: three check-in intervals.
const lapseTime = 3 * heartbeat

// crash ends the process at once. It is back after a time at the same address, under another ID, and is returned then.
func (e *engine) crash(down time.Duration, id string) (*engine, error) {
	e.record.note("engine %s crashes", e.id)
	e.mu.Lock()
	e.leaving = true
	e.listener.Close()
	for conn := range e.idle {
		if tcp, ok := conn.(*wholeWrites).Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	beat := e.beatAt
	e.mu.Unlock()
	close(e.stopped)
	time.AfterFunc(time.Until(beat.Add(lapseTime)), func() {
		e.store.remove("servers/" + e.id)
		e.record.note("the entry of engine %s has lapsed", e.id)
	})
	time.Sleep(down)
	next := &engine{
		id: id, service: e.service, address: e.address, zone: e.zone, version: e.version, model: e.model, slots: e.slots, work: e.work, idleTime: e.idleTime,
		events: e.events, pause: e.pause, unframed: e.unframed, store: e.store, record: e.record,
	}
	next.repeatsRejections.Store(e.repeatsRejections.Load())
	e.record.note("engine %s starts at the address of %s", next.id, e.id)
	return next, next.start()
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	conn = &wholeWrites{Conn: conn}
	defer func() {
		e.mu.Lock()
		delete(e.idle, conn)
		e.mu.Unlock()
	}()
	br := bufio.NewReader(conn)
	for e.setIdle(conn, true) {
		conn.SetReadDeadline(time.Now().Add(e.idleTime))
		if _, err := br.Peek(1); err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		e.setIdle(conn, false)
		body, err := io.ReadAll(req.Body)
		if err != nil || !e.answer(conn, req, body) {
			return
		}
	}
}

// answer answers a request. It returns whether the channel may carry another one.
func (e *engine) answer(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Chiveseam-Request-Id")
	self := "X-Chiveseam-Instance-Id: " + e.id + "\r\n"
	if req.URL.Path == "/api/report" || req.URL.Path == "/api/kv-list" || req.URL.Path == "/health" {
		text := "{}"
		switch req.URL.Path {
		case "/api/report":
			text = fmt.Sprintf(`{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,`+
				`"queued":0,"active":%d,"kv_used":0,"kv_total":600000,"handles":0,"born":%d}`, e.running.Load(), e.born)
		case "/api/kv-list":
			text = fmt.Sprintf(`{"epoch":1,"next":1,"held":[],"born":%d}`, e.born)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", self, len(text), text)
		return true
	}
	if want := req.Header.Get("X-Chiveseam-Target-Instance"); want != "" && want != e.id {
		e.record.run(id, e.id, "421")
		return e.reject(conn, id, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Chiveseam-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", id, self)) == nil
	}
	if id == "" {
		fmt.Fprint(conn, "HTTP/1.1 400 Bad Request\r\nX-Chiveseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.record.run(id, e.id, "began")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Chiveseam-Request-Id: %s\r\nX-Chiveseam-Server-Signature: sig-%s-%s\r\n"+
		"X-Chiveseam-Instance-Load: %d,0,%d\r\n", id, e.id, id, e.running.Load(), e.slots)
	if !e.model && !strings.HasPrefix(req.URL.Path, noticePath) {
		time.Sleep(e.work)
		text := strings.Repeat("x", 760) + " " + id
		if rand.Int64N(100) < e.errorShare.Load() {
			head = strings.Replace(head, "200 OK", "500 Internal Server Error", 1)
		}
		if _, err := fmt.Fprintf(conn, "%sKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s", head, int(e.idleTime.Seconds()), len(text), text); err != nil {
			e.record.run(id, e.id, "broken")
			return false
		}
		e.record.run(id, e.id, "whole")
		return true
	}
	head += "Content-Type: text/event-stream\r\n"
	if e.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		e.record.run(id, e.id, "broken")
		return false
	}
	for n := 1; n <= e.events; n++ {
		time.Sleep(e.pause)
		event := fmt.Sprintf("id: %d\ndata: %s token %d\n\n", n, id, n)
		if !e.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			e.record.run(id, e.id, "broken")
			return false
		}
	}
	if !e.unframed {
		io.WriteString(conn, "0\r\n\r\n")
	}
	e.record.run(id, e.id, "whole")
	return !e.unframed
}
