package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// newRequestID returns an ID that no other request of the run has.
func newRequestID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, requestCount.Add(1))
}

// request is one try of a consumer.
type request struct {
	method, host, path string
	id, key            string
	deadline           time.Duration
	body               string
	header             []string
}

func (r *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Chiveseam-Deadline-Ms: %d\r\n", r.method, r.path, r.host, idHeader, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", r.key)
	}
	for _, field := range r.header {
		b.WriteString(field + "\r\n")
	}
	if r.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// reply is what a consumer has seen of an answer.
type reply struct {
	status     int
	header     http.Header
	body       string
	complete   bool
	err        error
	sentAt     time.Time
	answeredAt time.Time
	endedAt    time.Time
}

// send sends a request to a router on a new connection and reads the answer, until the deadline. onData is called with the body so far
// after each read; it may be nil.
func send(address string, q *request, onData func(string) bool) reply {
	var out reply
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	out.sentAt = time.Now()
	defer func() { out.endedAt = time.Now() }()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		out.err = err
		out.endedAt = time.Now()
		return out
	}
	defer conn.Close()
	conn.SetDeadline(out.sentAt.Add(q.deadline + 500*time.Millisecond))
	if _, err = io.WriteString(conn, q.text()); err != nil {
		out.err, out.endedAt = err, time.Now()
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		out.err, out.endedAt = err, time.Now()
		return out
	}
	out.answeredAt = time.Now()
	out.status, out.header = resp.StatusCode, resp.Header
	var body strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		if n > 0 && onData != nil && !onData(body.String()) {
			out.err = errLeft
			break
		}
		if err != nil {
			out.complete = err == io.EOF
			if !out.complete {
				out.err = err
			}
			break
		}
	}
	out.body, out.endedAt = body.String(), time.Now()
	return out
}

var errLeft = fmt.Errorf("the consumer has left")
