package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one consumer attempt.
type call struct {
	id, method, path, host, key string
	deadline                    time.Duration
	// prompt is the list of prompt parts; empty for requests without a prompt.
	prompt               string
	lastEventID, resumes string
	body                 string
}

func (c call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Chiveseam-Request-Id: %s\r\nX-Chiveseam-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		c.method, c.path, c.host, c.id, c.deadline.Milliseconds(), c.key)
	if c.prompt != "" {
		fmt.Fprintf(&b, "X-Chiveseam-Model: m\r\nX-Chiveseam-Token-Usage: 560,60\r\nX-Chiveseam-Prompt-Prefix: %s\r\n", c.prompt)
	}
	if c.lastEventID != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", c.lastEventID, c.resumes)
	}
	if c.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	return b.String() + "\r\n" + c.body
}

// dial opens a channel to a machine; consumers allow one second for it.
func dial(m *machine) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp4", m.at("listen"), time.Second)
	if err != nil {
		return nil, nil, err
	}
	return conn, bufio.NewReader(conn), nil
}

// event is one event of a stream.
type event struct{ id, data string }

// readEvent reads the next event of a stream.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			if line != "" && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return e, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && (e.id != "" || e.data != ""):
			return e, nil
		case strings.HasPrefix(line, "id:"):
			e.id = strings.TrimSpace(line[3:])
		case strings.HasPrefix(line, "data:"):
			e.data = strings.TrimSpace(line[5:])
		}
	}
}

// send writes a request on a channel and reads the head of the answer.
func send(conn net.Conn, br *bufio.Reader, c call) (*http.Response, error) {
	conn.SetDeadline(time.Now().Add(c.deadline))
	if _, err := io.WriteString(conn, c.text()); err != nil {
		return nil, err
	}
	return http.ReadResponse(br, &http.Request{Method: c.method})
}

// retryAfter returns the pause that an answer asks for, at most a third of the time left.
func retryAfter(resp *http.Response, left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), left/3)
}

func newEventReader(r io.Reader) *bufio.Reader { return bufio.NewReader(r) }
