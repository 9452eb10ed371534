package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
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
	store  *store
	record *recorder

	mu       sync.Mutex
	sequence int
	state    string
	running  atomic.Int64
	stopped  chan struct{}
}

const heartbeat = 1200 * time.Millisecond

func (e *engine) start() error {
	e.born, e.state, e.stopped = time.Now().UnixMilli(), "ready", make(chan struct{})
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
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
	return e.store.put("servers/"+e.id, value)
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
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
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Chiveseam-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", id, self)
		return true
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
	if !e.model {
		time.Sleep(15 * time.Millisecond)
		text := strings.Repeat("x", 760) + " " + id
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text); err != nil {
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
