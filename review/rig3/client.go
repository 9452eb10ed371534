package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a consumer's connection to one machine, kept for many requests.
type channel struct {
	conn net.Conn
	br   *bufio.Reader
	// requests is the number of requests that were sent on it.
	requests int
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, br: bufio.NewReader(conn)}, nil
}

// request is one attempt of a consumer, and result what came of it.
type request struct {
	id, method, path, body string
	headers                []string
	timeLimit              time.Duration
}

type result struct {
	status    int
	signed    bool
	body      string
	complete  bool
	reusable  bool
	err       error
	closed    bool
	retryWait string
}

const host = "ficu95.example"

// send sends a request on the channel and reads the answer.
func (c *channel) send(r request) result {
	c.requests++
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Chiveseam-Request-Id: %s\r\nX-Chiveseam-Deadline-Ms: %d\r\nApi-Key: %s\r\n", r.method, r.path, host, r.id,
		r.timeLimit.Milliseconds(), apiKey)
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	c.conn.SetDeadline(time.Now().Add(r.timeLimit + time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return result{err: err, closed: true}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		return result{err: err, closed: !isTimeout(err)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, signed: resp.Header.Get("X-Chiveseam-Server-Signature") != "", body: string(text), complete: err == nil,
		reusable: err == nil && !resp.Close, err: err, closed: err != nil && !isTimeout(err), retryWait: resp.Header.Get("Retry-After"),
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

const apiKey = "asnmgkcuyj8pjbvk9m68"
