package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/platform/standin"
)

const (
	// callerPause is the mean time between two requests of a caller.
	callerPause = 60 * time.Millisecond
	// callerPatience is how much longer than the route's timeout a caller waits, to
	// see how late an answer is.
	callerPatience = 6 * time.Second
	dialTimeout    = time.Second
	maxHeadBytes   = 64 << 10
	// probeShare and unknownShare are the parts of requests that ask for a version's
	// own route and that carry an unknown key.
	probeShare   = 0.15
	unknownShare = 0.02
	// leaveShare is the part of requests whose caller leaves before the answer.
	leaveShare = 0.03
	leaveAfter = 50 * time.Millisecond
	// keepShare is the part of answers after which a caller keeps its connection.
	keepShare = 0.9
)

// caller sends one request after the other, on one connection as long as that lasts:
// it does not look whether the router is still in rotation.
type caller struct {
	run    *run
	name   int
	random *rand.Rand
	sent   int

	router *router
	boot   int
	conn   net.Conn
	br     *bufio.Reader
}

func (c *caller) loop(done <-chan struct{}) {
	defer c.drop()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(callerPause))):
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		c.ask()
	}
}

func (c *caller) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) connect() bool {
	r := c.run.pick(c.random)
	if r == nil {
		return false
	}
	boot := int(r.boot.Load())
	conn, err := net.DialTimeout("tcp4", r.callers.address(), dialTimeout)
	if err != nil {
		return false
	}
	c.router, c.boot, c.conn, c.br = r, boot, conn, bufio.NewReader(conn)
	return true
}

// ask sends one request and takes its answer.
func (c *caller) ask() {
	r := c.draw()
	c.run.judge.asked(r)
	c.conn.SetDeadline(time.Now().Add(r.route.timeout + callerPatience))
	_, err := io.WriteString(c.conn, c.text(r))
	if err == nil && r.probe == 0 && c.random.Float64() < leaveShare {
		time.Sleep(leaveAfter)
		c.drop()
		c.run.judge.left(r)
		return
	}
	a := answer{err: err}
	if err == nil {
		a = c.receive(r)
	}
	c.run.judge.answered(r, a)
	if !a.complete || c.random.Float64() > keepShare {
		c.drop()
	}
}

func (c *caller) draw() *request {
	c.sent++
	r := &request{
		id: fmt.Sprintf("c%d-%d", c.name, c.sent), route: routes[c.random.IntN(len(routes))], router: c.router.number,
		boot: c.boot, method: "POST", workspace: workspaceName(c.random.IntN(workspaces)),
	}
	r.path = r.route.path + r.id + "?q=%20x"
	r.body = fmt.Sprintf("body of %s", r.id)
	switch p := c.random.Float64(); {
	case p < probeShare:
		r.probe = c.run.version(c.random)
		r.route = routes[idemRoute]
		r.path = versionPath(r.probe) + r.id
	case p < probeShare+unknownShare:
		r.unknownKey = true
	}
	return r
}

func (c *caller) text(r *request) string {
	sent := standin.Request{
		ID: r.id, Method: r.method, Path: r.path, Host: host, APIKey: keyOf(r.workspace), Deadline: r.route.timeout, Body: r.body,
	}
	if r.unknownKey {
		sent.APIKey = "of-nobody"
	}
	if r.route.stream {
		sent.PromptParts = fmt.Sprintf("%x:%d,%x:%d", c.random.IntN(sharedParts), sharedTokens, c.random.Uint64(), ownTokens)
		sent.PromptTokens, sent.OutputTokens = sharedTokens+ownTokens, standin.EventCount
	}
	return sent.Text()
}

// sharedParts is the number of prompt parts that requests share. Prompts are short:
// the stand-ins do not read them.
const (
	sharedParts  = 8
	sharedTokens = 100
	ownTokens    = 50
)

func (c *caller) receive(r *request) answer {
	resp, err := h1.ReadResponse(c.br, r.method, maxHeadBytes)
	if err != nil {
		return answer{err: err}
	}
	a := answer{
		status: resp.Status, requestID: resp.Header.Get(standin.RequestIDHeader),
		signature: resp.Header.Get(standin.SignatureHeader),
	}
	body, err := io.ReadAll(resp.Body(c.br))
	a.body, a.err = string(body), err
	a.complete = err == nil
	if resp.Header.HasToken("Connection", "close") {
		c.drop()
	}
	return a
}
