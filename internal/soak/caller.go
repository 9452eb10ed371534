package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/platform/standin"
)

const (
	// meanThinkTime is the mean pause of a caller between two requests.
	meanThinkTime = 60 * time.Millisecond
	// extraWait is added to the route's timeout to get how long a caller waits for an answer,
	// so that late answers are seen and their delay measured.
	extraWait            = 6 * time.Second
	dialTimeout          = time.Second
	maxResponseHeadBytes = 64 << 10
	// versionProbeShare is the fraction of requests sent to the route that only one
	// configuration version has; unknownKeyShare is the fraction sent with an unknown API key.
	versionProbeShare = 0.15
	unknownKeyShare   = 0.02
	// disconnectShare is the fraction of requests whose caller closes its connection
	// disconnectDelay after it sent the request, usually before the answer.
	disconnectShare = 0.03
	disconnectDelay = 50 * time.Millisecond
	// keepAliveShare is the fraction of complete answers after which a caller reuses its
	// connection.
	keepAliveShare = 0.9
	// minRetryPause and maxRetryPause bound the pause before a long stream is taken up, which callers do
	// while they have minRetryTime left.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	minRetryTime  = 200 * time.Millisecond
	// minLongEvents and maxLongEvents bound the number of events of a long stream.
	minLongEvents = 20
	maxLongEvents = 60
)

// caller sends one request after another. It reuses a connection for as long as that lasts,
// even after the router was taken out of rotation. It is used by one goroutine.
type caller struct {
	run    *run
	number int
	random *rand.Rand
	// routes are the routes from which requests are drawn.
	routes []route
	// joins is set for callers that read streams while targets of a new version join.
	joins bool
	// requestCount is the number of requests drawn so far.
	requestCount int

	// router and incarnation identify the router process of the open connection.
	router      *router
	incarnation int
	conn        net.Conn
	br          *bufio.Reader
	// broken is the next request, if it takes up a resumable stream that broke off after an event;
	// nil otherwise.
	broken *request
}

// sendRequests sends requests with exponentially distributed pauses until done is closed.
func (c *caller) sendRequests(done <-chan struct{}) {
	defer c.closeConn()
	for {
		select {
		case <-done:
			return
		case <-time.After(c.drawPause()):
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		c.exchange()
	}
}

// drawPause draws the pause before the next request.
func (c *caller) drawPause() time.Duration {
	if c.broken != nil && c.broken.route.persistent {
		return minRetryPause + time.Duration(c.random.Float64()*float64(maxRetryPause-minRetryPause))
	}
	return time.Duration(c.random.ExpFloat64() * float64(meanThinkTime))
}

func (c *caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a router in rotation. It returns false if there is none or the
// connection fails.
func (c *caller) connect() bool {
	r := c.run.pickRouter(c.random, c.preference())
	if r == nil {
		return false
	}
	incarnation := int(r.incarnation.Load())
	conn, err := net.DialTimeout("tcp4", r.callerRelay.address(), dialTimeout)
	if err != nil {
		return false
	}
	c.router, c.incarnation, c.conn, c.br = r, incarnation, conn, bufio.NewReader(conn)
	return true
}

// preference returns which routers the caller prefers for a new connection: another one than that at which its stream broke
// off. If targets of a new version join, streams begin at routers that are in step.
func (c *caller) preference() func(*router) bool {
	outOfStep := c.broken != nil && c.random.Float64() < outOfStepShare
	return func(r *router) bool {
		return (c.broken == nil || r != c.router) && (!c.joins || outOfStep == (r.outOfStep.Load() > 0))
	}
}

// exchange sends one request, reads its answer and reports both to the checker.
func (c *caller) exchange() {
	r := c.nextRequest()
	c.run.checker.requestSent(r)
	c.conn.SetDeadline(time.Now().Add(r.deadline + extraWait))
	_, err := io.WriteString(c.conn, c.encode(r))
	if err == nil && r.probedVersion == 0 && c.random.Float64() < disconnectShare {
		time.Sleep(disconnectDelay)
		c.closeConn()
		c.run.checker.callerDisconnected(r)
		return
	}
	a := answer{err: err}
	if err == nil {
		a = c.readAnswer(r)
	}
	c.run.checker.requestEnded(r, a)
	c.noteBroken(r, a)
	if !a.complete || c.random.Float64() > keepAliveShare || c.broken != nil && c.random.Float64() < movedShare {
		c.closeConn()
	}
}

// noteBroken decides whether the next request takes up the stream of r.
func (c *caller) noteBroken(r *request, a answer) {
	c.broken = nil
	events, last := 0, r.lastEvent
	if a.status == 200 {
		last, events = lastEvent(a.body, c.number%2 == 0, last)
	}
	persistent := r.route.persistent || c.run.config.generates()
	if !r.route.resumable || a.complete && a.status < 300 || last == 0 || events == 0 && !persistent {
		return
	}
	c.broken = &request{
		route: r.route, method: r.method, path: r.path, body: r.body, workspace: r.workspace, unknownKey: r.unknownKey,
		begunBy: r.stream(), lastEvent: last, events: r.events, promptParts: r.promptParts, deadline: r.route.timeout,
	}
	if persistent {
		c.broken.deadline -= time.Since(r.stream().sentAt)
	}
}

// nextRequest returns a request that takes up the stream that has just broken off, if its time isn't
// over, or a new one.
func (c *caller) nextRequest() *request {
	if c.broken == nil || c.broken.deadline < minRetryTime {
		return c.newRequest()
	}
	c.requestCount++
	r := c.broken
	c.broken = nil
	r.id = fmt.Sprintf("c%d-%d", c.number, c.requestCount)
	r.router, r.incarnation = c.router.number, c.incarnation
	return r
}

// newRequest draws the next request: route, workspace, and whether it probes a configuration
// version or carries an unknown API key.
func (c *caller) newRequest() *request {
	c.requestCount++
	r := &request{
		id: fmt.Sprintf("c%d-%d", c.number, c.requestCount), route: c.routes[c.random.IntN(len(c.routes))], router: c.router.number,
		incarnation: c.incarnation, method: "POST", workspace: workspaceName(c.random.IntN(workspaces)),
	}
	r.path = r.route.path + r.id + "?q=%20x"
	r.body = fmt.Sprintf("body of %s", r.id)
	r.deadline, r.events = r.route.timeout, standin.EventCount
	if r.route.stream {
		r.promptParts = c.drawPrompt()
	}
	if c.run.config.generates() && r.route.stream {
		r.events = 1 + c.random.IntN(maxGeneratedEvents)
	}
	if c.joins || c.number >= c.run.config.Callers {
		r.events = minLongEvents + c.random.IntN(maxLongEvents-minLongEvents)
		return r
	}
	switch p := c.random.Float64(); {
	case p < versionProbeShare:
		r.probedVersion = c.run.drawVersion(c.random)
		r.route = routes[idempotentRoute]
		r.path = versionPath(r.probedVersion) + r.id
		r.deadline = r.route.timeout
	case p < versionProbeShare+unknownKeyShare:
		r.unknownKey = true
	}
	return r
}

// drawPrompt draws the parts of a prompt: one part that other requests share, and one of its own. While targets of a new
// version join there is only the latter, since targets that have read shared parts are preferred.
func (c *caller) drawPrompt() string {
	if c.joins {
		return fmt.Sprintf("%x:%d", c.random.Uint64(), ownPartTokens)
	}
	part := fmt.Sprintf("%x", c.random.IntN(sharedPromptParts))
	if c.run.promptCrashes.Load() > 0 && c.random.Float64() < crashingShare {
		part += fmt.Sprintf(":%d,%s", sharedPartTokens, crashingPart)
	}
	return fmt.Sprintf("%s:%d,%x:%d", part, sharedPartTokens, c.random.Uint64(), ownPartTokens)
}

// encode returns the request as HTTP/1.1 text.
func (c *caller) encode(r *request) string {
	sent := standin.Request{
		ID: r.id, Method: r.method, Path: r.path, Host: host, APIKey: apiKey(r.workspace), Deadline: r.deadline, Body: r.body,
	}
	if r.begunBy != nil {
		sent.LastEventID, sent.Resumes = strconv.Itoa(r.lastEvent), r.begunBy.id
	}
	if r.unknownKey {
		sent.APIKey = "of-nobody"
	}
	if r.route.stream {
		sent.PromptParts = r.promptParts
		sent.PromptTokens, sent.OutputTokens = sharedPartTokens+ownPartTokens, r.events
	}
	return sent.Text()
}

// The first part of a prompt is one of sharedPromptParts parts, the second is the request's
// own. The numbers of tokens are small, since the stand-in targets don't read prompts.
const (
	sharedPromptParts = 8
	sharedPartTokens  = 100
	// crashingPart is the part that crashes targets, and crashingShare the fraction of prompts that
	// have it during a PromptCrash.
	crashingPart  = "bad"
	crashingShare = 0.05
	ownPartTokens = 50
)

// readAnswer reads the response to r from the connection, and closes the connection if the
// response asks for that.
func (c *caller) readAnswer(r *request) answer {
	resp, err := h1.ReadResponse(c.br, r.method, maxResponseHeadBytes)
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
		c.closeConn()
	}
	return a
}
