package edge

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/routing"
)

// Parts of the answers in these tests, with %ID for the request's ID.
const (
	signedHead  = "HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\n"
	interimHead = "HTTP/1.1 103 X\r\nT-Id: %ID\r\n\r\n"
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

// answerTexts returns whole answers by their framing.
var answerTexts = map[string]func(body string) string{
	"length": func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", signedHead, len(body), body)
	},
	"chunks": func(body string) string {
		text := signedHead + "Transfer-Encoding: chunked\r\n\r\n"
		for chunk := range slices.Chunk([]byte(body), 10) {
			text += fmt.Sprintf("%x;e=f\r\n%s\r\n", len(chunk), chunk)
		}
		return text + "0\r\nX-A: b\r\nX-C: d\r\n\r\n"
	},
	"neither": func(body string) string { return signedHead + "\r\n" + body },
	"interim": func(body string) string {
		return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", interimHead+interimHead, signedHead, len(body), body)
	},
	"answer behind": func(body string) string {
		return signedHead + "\r\n" + body + "HTTP/1.1 503 X\r\nT-Id: %ID\r\nContent-Length: 2\r\n\r\nno"
	},
	"HEAD": func(body string) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", signedHead, len(body)) },
	"204":  func(string) string { return strings.Replace(signedHead, "200", "204", 1) + "\r\n" },
	"304": func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", strings.Replace(signedHead, "200", "304", 1), len(body))
	},
}

// What a target does with an attempt of a request.
const (
	// breakOff: write a part of the answer and end the connection.
	breakOff = 'B'
	// answerWhole: write the whole answer.
	answerWhole = 'W'
	// breakAfterEvent: write the first event of a stream and reset the connection.
	breakAfterEvent = 'E'
)

// brokenRequest is a kind of request whose answers break off.
type brokenRequest struct {
	// path is the route, steps what the targets do with the attempts.
	path, steps string
	// kept is set if the first attempt uses a connection that carried an earlier request.
	kept bool
	// received is the ID of the last event that the caller has of the stream.
	received string
	framings []string
}

func (r *brokenRequest) isStream() bool { return r.path == "stream" || r.path == "resumable" }

// body returns the body of an answer that begins after the event with an ID.
func (r *brokenRequest) body(after string) string {
	if !r.isStream() {
		return "hello"
	}
	return map[string]string{"": firstEvent + secondEvent, "1": secondEvent}[after]
}

// brokenCase is one request and where its answers break off.
type brokenCase struct {
	*brokenRequest
	framing string
	// cut is the number of bytes of an answer that a target writes before it resets or ends the connection.
	cut           int
	reset, pauses bool
	id            string

	mu sync.Mutex
	// attempts counts those that reached a target, and ended holds the connections on which they came. mu
	// guards them.
	attempts int
	ended    []net.Conn
	// wrongConn is set if an attempt came on a connection that it must not use.
	wrongConn bool
}

func (c *brokenCase) String() string {
	return fmt.Sprintf("%+v %s, %d bytes, reset %v, pauses %v", *c.brokenRequest, c.framing, c.cut, c.reset, c.pauses)
}

// text returns the whole answer after an event, framed as given.
func (c *brokenCase) text(framing, after string) string {
	return strings.ReplaceAll(answerTexts[framing](c.body(after)), "%ID", c.id)
}

// headBytes returns the length of all heads of the answer.
func (c *brokenCase) headBytes() int {
	text := c.text(c.framing, c.received)
	start := 0
	if c.framing == "interim" {
		start = strings.Index(text, "HTTP/1.1 200")
	}
	return start + strings.Index(text[start:], "\r\n\r\n") + 4
}

// mayBeWhole reports whether the part that a target writes may be a whole answer.
func (c *brokenCase) mayBeWhole() bool {
	if c.reset || (c.framing != "neither" && c.framing != "answer behind") || c.cut < c.headBytes() {
		return false
	}
	events := c.text(c.framing, c.received)[c.headBytes():c.cut]
	if events == "" && (c.received != "" || c.steps[0] == breakAfterEvent) {
		return true // no event is left of a stream that goes on
	}
	return !c.isStream() || events == firstEvent || events == secondEvent || events == firstEvent+secondEvent
}

func (c *brokenCase) handle(s *receivedRequest) {
	c.mu.Lock()
	if path.Base(s.Target) != "broken" {
		c.wrongConn = c.wrongConn || slices.Contains(c.ended, s.conn)
		c.mu.Unlock()
		s.write("HTTP/1.1 204 X\r\nT-Id: %ID\r\nT-Signed: y\r\nConnection: " + path.Base(s.Target) + "\r\n\r\n")
		return
	}
	step := c.steps[min(c.attempts, len(c.steps)-1)]
	c.wrongConn = c.wrongConn || slices.Contains(c.ended, s.conn) || c.attempts == 0 && c.kept != (s.number > 1)
	c.attempts++
	c.ended = append(c.ended, s.conn)
	c.mu.Unlock()
	switch step {
	case answerWhole:
		s.write(c.text("length", s.Header.Get("T-Last")))
	case breakAfterEvent:
		s.writeStreamHead()
		s.writeChunk(firstEvent)
		time.Sleep(20 * time.Millisecond)
		s.reset()
	case breakOff:
		text := c.text(c.framing, s.Header.Get("T-Last"))
		if !c.reset || c.framing != "neither" {
			text = text[:len(text)-1]
		}
		text = text[:min(c.cut, len(text))]
		size := len(text) + 1
		if c.pauses {
			size = len(text)/3 + 1
		}
		s.writeInPieces(text, size)
		if c.reset {
			s.reset()
			return
		}
		// The router could still send another request.
		s.conn.(*net.TCPConn).CloseWrite()
	}
}

// play sends the request and returns what is wrong with what the caller gets.
func (c *brokenCase) play(f *fixture) error {
	caller := f.client()
	defer caller.conn.Close()
	if c.kept {
		if _, _, err := caller.call("POST", "/"+c.path+"/"+c.id+"/keep-alive"); err != nil {
			return err
		}
	}
	method, extra := "POST", ""
	if c.framing == "HEAD" {
		method = "HEAD"
	}
	if c.received != "" {
		extra = "T-Last: " + c.received + "\r\n"
	}
	_, err := fmt.Fprintf(caller.conn, "%s /%s/%s/broken HTTP/1.1\r\nHost: h.example\r\nT-Id: %s\r\nT-Key: key\r\nT-Deadline: 15000\r\n%s\r\n", method, c.path, c.id, c.id, extra)
	if err != nil {
		return err
	}
	resp, body, err := caller.receive(method)
	if err := c.judge(resp, body, err); err != nil {
		return err
	}
	if c.kept {
		// The next request does not come on a connection that the target has ended.
		_, _, err = f.client().call("POST", "/"+c.path+"/"+c.id+"/close")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts != len(c.steps) || c.wrongConn || c.kept && err != nil {
		return fmt.Errorf("%d attempts, one on a wrong connection: %v, next request: %v", c.attempts, c.wrongConn, err)
	}
	return nil
}

// judge returns what is wrong with the caller's answer, whose body ended with err.
func (c *brokenCase) judge(resp *h1.Response, body string, err error) error {
	if resp == nil {
		return fmt.Errorf("no answer: %w", err)
	}
	_, signed := resp.Header.Lookup("T-Signed")
	begun := c.isStream() && (c.steps[0] == breakAfterEvent || c.cut >= c.headBytes())
	ok := false
	switch {
	case strings.HasSuffix(c.steps, string(answerWhole)):
		ok = err == nil && signed && resp.Status == http.StatusOK && body == c.body(c.received)
	case begun:
		ok = errors.Is(err, io.ErrUnexpectedEOF) && signed && strings.HasPrefix(c.body(c.received), body) &&
			(c.path == "stream" || body == "" || strings.HasSuffix(body, "\n\n"))
	default:
		ok = err == nil && !signed && resp.Status == http.StatusBadGateway && ranHeader(resp) == "UNKNOWN"
	}
	if ok {
		return nil
	}
	return fmt.Errorf("status %d, signed %v, body %q, end %v", resp.Status, signed, body, err)
}

// brokenCases returns the cases of a request for all numbers of bytes.
func brokenCases(r *brokenRequest, framing string) []*brokenCase {
	var cases []*brokenCase
	for end := range 3 {
		for cut := 0; ; cut++ {
			c := &brokenCase{brokenRequest: r, framing: framing, cut: cut, reset: end&1 > 0, pauses: end&2 > 0, id: fmt.Sprintf("q%04d", len(cases))}
			if whole := len(c.text(framing, r.received)); cut > whole || cut == whole && !(c.reset && framing == "neither") {
				break
			}
			if !c.mayBeWhole() {
				cases = append(cases, c)
			}
		}
	}
	return cases
}

// Guards against MIXED, ORDER, TWICE and REFUSED: a target ends the connection in the middle of an answer's head,
// and the caller gets a success with an empty or short body as whole, or a part of the head in a body. The
// answers break off after each of their bytes.
func TestAnswerThatBreaksOffAtAnyByteIsIncomplete(t *testing.T) {
	plain := []string{"length", "neither", "chunks", "interim", "HEAD", "204", "304"}
	streamed := []string{"length", "neither", "chunks", "interim", "answer behind", "HEAD"}
	for _, r := range []brokenRequest{
		{path: "once", steps: "B", framings: plain},
		{path: "once", steps: "B", kept: true, framings: plain[:2]},
		{path: "idempotent", steps: "BB", framings: plain},
		{path: "idempotent", steps: "B", kept: true, framings: plain[:2]},
		{path: "idempotent", steps: "BW", framings: plain[:4]},
		{path: "stream", steps: "B", framings: streamed},
		{path: "stream", steps: "B", kept: true, framings: streamed[:2]},
		{path: "stream", steps: "B", received: "1", framings: streamed[:2]},
		{path: "resumable", steps: "BB", framings: streamed},
		{path: "resumable", steps: "B", kept: true, framings: streamed[:2]},
		{path: "resumable", steps: "BW", framings: streamed[:5]},
		{path: "resumable", steps: "BW", received: "1", framings: streamed[:5]},
		{path: "resumable", steps: "EB", framings: streamed[:5]},
	} {
		for _, framing := range r.framings {
			t.Run(fmt.Sprint(r.path, r.steps, r.kept, r.received, framing), func(t *testing.T) {
				t.Parallel()
				playBrokenCases(t, brokenCases(&r, framing))
			})
		}
	}
}

// brokenWorkers is the number of cases that playBrokenCases plays at a time.
const brokenWorkers = 16

// playBrokenCases plays cases on one router. Each has a service of its own, and a target for each attempt. The
// targets of cases that are played after one another share listeners.
func playBrokenCases(t *testing.T, cases []*brokenCase) {
	byID := make(map[string]*brokenCase)
	for _, c := range cases {
		byID[c.id] = c
	}
	handle := func(s *receivedRequest) {
		// Another process may still send requests to an address that it used before.
		if parts := strings.Split(s.Target, "/"); len(parts) > 2 && byID[parts[2]] != nil {
			byID[parts[2]].handle(s)
			return
		}
		s.reset()
	}
	listeners := make([][]*testTarget, brokenWorkers)
	var routes []*routing.Route
	var targets []routing.Target
	for i, c := range cases {
		for _, route := range testRoutes() {
			if route.Prefix != "/"+c.path+"/" {
				continue
			}
			route.Prefix += c.id + "/"
			route.Services = []routing.WeightedService{{Service: c.id, Weight: 1}}
			route.MaxAttempts, route.Timeout, route.LatencyObjective = len(c.steps), 15*time.Second, 5*time.Second
			route.EventGapObjective = 5 * time.Second
			routes = append(routes, route)
		}
		shared := &listeners[i%brokenWorkers]
		for step := range c.steps {
			if step == len(*shared) {
				*shared = append(*shared, newTestTarget(t, fmt.Sprint("target-", step), handle))
			}
			target := (*shared)[step].registration()
			target.ID, target.Service = fmt.Sprint(c.id, "-", step), c.id
			targets = append(targets, target)
		}
	}
	f := &fixture{t: t, is: is.New(t), source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}}
	f.source.publish(routing.NewTable(1, routes, nil, routing.Limits{IdleTimeout: 10 * time.Second}, map[string]string{"key": "shop"}), targets...)
	f.start(f.settings())
	f.await(f.edge.isReady)
	f.await(f.edge.versionsKnown)
	var running sync.WaitGroup
	for worker := range brokenWorkers {
		running.Go(func() {
			for i := worker; i < len(cases); i += brokenWorkers {
				if err := cases[i].play(f); err != nil {
					t.Errorf("%v: %v", cases[i], err)
				}
			}
		})
	}
	running.Wait()
}
