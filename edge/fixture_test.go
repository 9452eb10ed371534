package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/routing"
)

// testHeaders returns the header names that these tests use.
func testHeaders() Headers {
	return Headers{
		RequestID: "T-Id", Deadline: "T-Deadline", PromptParts: "T-Parts", TokenUsage: "T-Usage", Model: "T-Model",
		LengthHint: "T-Hint", LastEventID: "T-Last", Resumes: "T-Resumes", Signature: "T-Signed", Workspace: "T-Workspace", TargetID: "T-Target", InstanceID: "T-Instance",
		FetchFrom: "T-Fetch", NotRun: "T-Not-Run", Leaving: "T-Leaving", RateLimit: "T-Limit", Load: "T-Load", APIKey: "T-Key", Reserved: []string{"T-Hold"},
		EventFields: []string{"t-weights"},
	}
}

// testTarget is a target whose answers are written by the test, byte by byte if necessary.
type testTarget struct {
	t       testing.TB
	id      string
	version string
	zone    string
	// started is the Unix time in ms at which the target started; 0 stands for 1.
	started  int64
	listener net.Listener
	handle   func(s *receivedRequest)
	// early is set if handle gets requests before their bodies are read; it may read a part of them.
	early bool
	// idleTime is the time after which the target closes a connection without a request; 0 if it does not.
	idleTime time.Duration

	mu sync.Mutex
	// received holds all requests read, open the connections and accepted their number. mu guards
	// them.
	received []*receivedRequest
	open     []net.Conn
	accepted int
}

// crash closes the listener and all connections, as the end of a process does.
func (target *testTarget) crash() {
	target.listener.Close()
	target.mu.Lock()
	defer target.mu.Unlock()
	for _, conn := range target.open {
		conn.Close()
	}
}

// receivedRequest is one request at a testTarget.
type receivedRequest struct {
	*h1.Request
	conn net.Conn
	br   *bufio.Reader
	// number counts the requests on the connection, from 1.
	number int
	id     string
	target *testTarget
}

// write sends raw bytes. It replaces %ID by the request's ID.
func (s *receivedRequest) write(text string) {
	io.WriteString(s.conn, strings.ReplaceAll(text, "%ID", s.id))
}

// answer sends a complete answer with the signature field.
func (s *receivedRequest) answer(status int, body string) {
	s.write(fmt.Sprintf("HTTP/1.1 %d X\r\nT-Id: %%ID\r\nT-Signed: yes\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
}

// notRun answers that the request was not run.
func (s *receivedRequest) notRun(status int) {
	s.write(fmt.Sprintf("HTTP/1.1 %d X\r\nT-Id: %%ID\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status))
}

// reset resets the connection without an answer.
func (s *receivedRequest) reset() {
	s.conn.(*net.TCPConn).SetLinger(0)
	s.conn.Close()
}

// closedByRouter waits up to limit and reports whether the router has closed the connection.
func (s *receivedRequest) closedByRouter(limit time.Duration) bool {
	s.conn.SetReadDeadline(time.Now().Add(limit))
	_, err := s.br.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func newTestTarget(t testing.TB, id string, handle func(s *receivedRequest)) *testTarget {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &testTarget{t: t, id: id, listener: listener, handle: handle}
	t.Cleanup(func() { listener.Close() })
	go target.accept()
	return target
}

func (target *testTarget) accept() {
	for {
		conn, err := target.listener.Accept()
		if err != nil {
			return
		}
		target.mu.Lock()
		target.accepted++
		target.open = append(target.open, conn)
		target.mu.Unlock()
		go target.serve(conn)
	}
}

func (target *testTarget) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for number := 1; ; number++ {
		if target.idleTime > 0 {
			conn.SetReadDeadline(time.Now().Add(target.idleTime))
			if _, err := br.Peek(1); err != nil {
				return
			}
			conn.SetReadDeadline(time.Time{})
		}
		req, err := h1.ReadRequest(br, 1<<16)
		if err != nil || !target.early && req.ReadBody(br, 1<<22) != nil {
			return
		}
		s := &receivedRequest{Request: req, conn: conn, br: br, number: number, id: req.Header.Get("T-Id"), target: target}
		target.mu.Lock()
		target.received = append(target.received, s)
		target.mu.Unlock()
		target.handle(s)
	}
}

func (target *testTarget) requests() []*receivedRequest {
	target.mu.Lock()
	defer target.mu.Unlock()
	return append([]*receivedRequest(nil), target.received...)
}

func (target *testTarget) registration() routing.Target {
	return routing.Target{ID: target.id, Service: "s", Version: target.version, Zone: target.zone, Address: target.listener.Addr().String(), Slots: 4, StartedUnixMs: max(target.started, 1)}
}

// fixture is a router between test callers and testTargets.
type fixture struct {
	t         testing.TB
	is        *is.I
	edge      *Edge
	source    *fakeSource
	stop      context.CancelFunc
	done      chan error
	logs      *logRecorder
	inspector Inspector
	// name is the router's name, peer its address for reports, and seeds where it finds other routers;
	// the last two may be empty.
	name, peer, seeds string
	// deaf makes the router lose the reports that come in.
	deaf atomic.Bool
}

// logRecorder collects log lines. It is safe for concurrent use.
type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (l *logRecorder) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(p))
	return len(p), nil
}

// contains reports whether there is a line with all parts.
func (l *logRecorder) contains(parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return true
		}
	}
	return false
}

// count returns the number of lines with a part.
func (l *logRecorder) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range l.lines {
		if strings.Contains(line, part) {
			n++
		}
	}
	return n
}

// testRoutes returns a route for each kind of request, with the kind as path prefix.
func testRoutes() []*routing.Route {
	service := []routing.WeightedService{{Service: "s", Weight: 1}}
	base := routing.Route{Host: "h.example", Services: service, Timeout: 3 * time.Second, LatencyObjective: 500 * time.Millisecond, MaxAttempts: 2}
	idempotent, once, stream, resumable, short := base, base, base, base, base
	idempotent.Prefix, idempotent.RetryPolicy = "/idempotent/", routing.Idempotent
	once.Prefix = "/once/"
	stream.Prefix, stream.Stream = "/stream/", true
	resumable.Prefix, resumable.Stream, resumable.RetryPolicy = "/resumable/", true, routing.Resumable
	resumable.EventGapObjective = 100 * time.Millisecond
	short.Prefix, short.Timeout = "/short/", 200*time.Millisecond
	return []*routing.Route{&idempotent, &once, &stream, &resumable, &short}
}

// testServices returns the service of testRoutes.
func testServices() []routing.Service { return []routing.Service{{Name: "s", StatusPath: "/status"}} }

// testTable returns a configuration with testRoutes and the API key "key" of the workspace "shop".
func testTable(version uint64) *routing.Table {
	return routing.NewTable(version, testRoutes(), testServices(), routing.Limits{IdleTimeout: 10 * time.Second}, map[string]string{"key": "shop"})
}

// Ports of freeAddress. They are below those that the kernel gives to connections and listeners
// without a port of their own, which could take a port between freeAddress and its use.
const (
	firstTestPort = 20000
	testPorts     = 12000
)

// nextTestPort counts the ports that freeAddress has tried. Processes begin at different ports.
var nextTestPort atomic.Uint32

func init() { nextTestPort.Store(uint32(os.Getpid()) * 61 % testPorts) }

// freeAddress returns a local address with a port that was free during the call.
func freeAddress(t testing.TB, network string) string {
	for range testPorts {
		address := fmt.Sprintf("127.0.0.1:%d", firstTestPort+nextTestPort.Add(1)%testPorts)
		var closer io.Closer
		var err error
		if network == "udp4" {
			closer, err = net.ListenPacket(network, address)
		} else {
			closer, err = net.Listen(network, address)
		}
		if err == nil {
			closer.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// newFixture starts a router with the given targets and waits until it is ready.
func newFixture(t *testing.T, targets ...*testTarget) *fixture {
	f := &fixture{t: t, is: is.New(t), source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}}
	f.run(targets)
	return f
}

// newPeer starts another router with the given targets, which exchanges reports with f, and waits until
// both have heard of each other.
func (f *fixture) newPeer(targets ...*testTarget) *fixture { return f.newNumberedPeer(2, targets...) }

// newNumberedPeer is newPeer for a peer with a number of its own.
func (f *fixture) newNumberedPeer(number int, targets ...*testTarget) *fixture {
	peer := &fixture{
		t: f.t, is: f.is, source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{},
		name: fmt.Sprint("r", number), seeds: f.edge.settings.Peer,
		// Routers take seeds to have the port of their own.
		peer: strings.Replace(f.edge.settings.Peer, "127.0.0.1:", fmt.Sprintf("127.0.0.%d:", number), 1),
	}
	peer.run(targets)
	for _, r := range []*fixture{f, peer} {
		f.await(func() bool {
			r.edge.mu.Lock()
			defer r.edge.mu.Unlock()
			return r.edge.members.LiveCount(time.Now()) > 0
		})
	}
	return peer
}

// run starts the router with the given targets and waits until it is ready and, if it is alone and the store
// has its history, knows which software versions there were.
func (f *fixture) run(targets []*testTarget) {
	var registered []routing.Target
	for _, target := range targets {
		registered = append(registered, target.registration())
	}
	f.source.publish(testTable(1), registered...)
	f.start(f.settings())
	f.await(f.edge.isReady)
	if f.seeds == "" && !f.source.historyLost {
		f.await(f.edge.versionsKnown)
	}
}

// settings writes a settings file with free addresses and reads it.
func (f *fixture) settings() *Settings {
	if f.name == "" {
		f.name = "r1"
	}
	if f.peer == "" {
		f.peer = freeAddress(f.t, "udp4")
	}
	path := filepath.Join(f.t.TempDir(), "edge.ini")
	text := fmt.Sprintf("name = %s\nzone = a\nlisten = %s\nready = %s\npeer = %s\nstore = 127.0.0.1:1\ngrace = 4s\nseeds = %s\nzone-regions = a=north,b=south\n",
		f.name, freeAddress(f.t, "tcp4"), freeAddress(f.t, "tcp4"), f.peer, f.seeds)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	s, err := ReadSettings(path)
	f.is.NoErr(err)
	return s
}

// start starts the router. It is stopped when the test ends.
func (f *fixture) start(s *Settings) {
	var err error
	f.edge, err = New(Options{
		Settings: s, Headers: testHeaders(), Source: f.source, ReadyPath: "/ready", Inspector: f.inspector,
		Logger: log.NewJSONLogger(log.NewSyncWriter(f.logs)),
	})
	f.is.NoErr(err)
	f.edge.reportConn = deafConn{f.edge.reportConn, &f.deaf}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() { f.done <- f.edge.Run(ctx) }()
	f.t.Cleanup(func() {
		f.edge.tomb.Kill(nil)
		stop()
	})
}

// await waits until cond returns true and fails the test after 10 s.
func (f *fixture) await(cond func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); !cond(); {
		if time.Now().After(end) {
			f.t.Fatal("condition not met within 10 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// client is one connection of a test caller.
type client struct {
	f    *fixture
	conn net.Conn
	br   *bufio.Reader
	id   int
}

func (f *fixture) client() *client {
	conn, err := net.Dial("tcp4", f.edge.settings.Listen)
	f.is.NoErr(err)
	f.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{f: f, conn: conn, br: bufio.NewReader(conn)}
}

// send writes a request with the test's API key and a new request ID, which it returns. extra holds
// further header lines.
func (c *client) send(method, target, extra, body string) string {
	c.id++
	id := fmt.Sprintf("%p-%d", c, c.id)
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nT-Id: %s\r\nT-Key: key\r\nT-Deadline: 3000\r\n%s", method, target, id, extra)
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c.conn, text+"\r\n"+body)
	c.f.is.NoErr(err)
	return id
}

// receive reads an answer. Its error also covers a body that is cut off; the answer is then
// returned with the part of the body that came.
func (c *client) receive(method string) (*h1.Response, string, error) {
	resp, err := h1.ReadResponse(c.br, method, 1<<16)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body(c.br))
	return resp, string(body), err
}

// call sends a request and reads its answer.
func (c *client) call(method, target string) (*h1.Response, string, error) {
	c.send(method, target, "", "")
	return c.receive(method)
}
