package soak

import (
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// route is a route of the configuration, as callers need it to send requests and the checker to
// check them.
type route struct {
	name, path    string
	service       string
	nonIdempotent bool
	stream        bool
	resumable     bool
	// persistent is set if callers take up a broken stream more than once.
	persistent bool
	// timeout is the route's deadline for the final answer.
	timeout     time.Duration
	maxAttempts int
}

// Indexes in routes.
const (
	nonIdempotentRoute = iota
	idempotentRoute
	chatRoute
)

// routes are the routes that every configuration version has.
var routes = []route{
	{name: "once", path: "/once/", service: plainService, nonIdempotent: true, timeout: 1500 * time.Millisecond, maxAttempts: 2},
	{name: "idem", path: "/idem/", service: plainService, timeout: 1500 * time.Millisecond, maxAttempts: 2},
	{name: "chat", path: "/chat/", service: streamService, stream: true, resumable: true, timeout: 4 * time.Second, maxAttempts: 3},
	{name: "draft", path: "/draft/", service: streamService, stream: true, nonIdempotent: true, timeout: 4 * time.Second, maxAttempts: 2},
}

// longRoutes are routes of streams that last for seconds, which every configuration version has too.
// Callers take up a broken stream of the first one until its timeout.
var longRoutes = []route{
	{name: "plan", path: "/plan/", service: streamService, stream: true, resumable: true, persistent: true, timeout: 10 * time.Second, maxAttempts: 2},
	{name: "digest", path: "/digest/", service: streamService, stream: true, nonIdempotent: true, timeout: 10 * time.Second, maxAttempts: 1},
}

// joinRoutes are the routes of streams that callers read while targets of a new version join, and which break off when
// their targets do.
var joinRoutes = []route{
	{name: "note", path: "/note/", service: streamService, stream: true, resumable: true, persistent: true, timeout: 10 * time.Second, maxAttempts: 1},
}

// plainService is the service of the targets with odd numbers. streamService is that of the
// targets with even numbers, which stand in for model engines.
const (
	plainService  = "desk"
	streamService = "llm"
)

// request is one request of a caller, with what the caller and the targets saw of it. The
// checker's mutex guards the fields from sentAt on.
type request struct {
	id    string
	route route
	// router and incarnation identify the router process to which the caller connected.
	router      int
	incarnation int
	method      string
	path        string
	body        string
	workspace   string
	// probedVersion is the configuration version whose own route is requested; 0 for other
	// requests.
	probedVersion uint64
	// unknownKey is set if the request carries an API key that no configuration has.
	unknownKey bool
	// begunBy is the request that began the stream which this one takes up after the event lastEvent;
	// nil if it begins one.
	begunBy   *request
	lastEvent int
	// events is the number of events of the stream. promptParts lists the parts of its prompt.
	events      int
	promptParts string
	// deadline is how long the caller waits for the answer.
	deadline time.Duration
	// sentAt is just before the first byte is sent. endedAt is when the answer was complete or
	// the connection ended.
	sentAt, endedAt time.Time
	// disconnectedAt is when the caller closed its connection without reading the answer.
	disconnectedAt time.Time
	answer         answer
	// runs are the runs of the request at targets, in the order of their starts.
	runs []standin.Run
	// version is the software version of the target that sent the first event; "" if none has arrived.
	version string
	// tries holds the requests of a stream, of which this one is the first. drawn is set once a target has drawn an answer to one
	// of them, and spoiled once its caller holds what breaks a promise.
	tries          []*request
	drawn, spoiled bool
	// mixed is set once the stream has gone on at another software version.
	mixed bool
	// serving is the number of targets of the stream's version that serve when the request is sent.
	serving int
	// takenUpInTouch and takenUpOutside are set once the stream counts as taken up at a router in touch, and at another one.
	takenUpInTouch, takenUpOutside bool
	// fullAnswerSent is set once a target has sent a complete answer.
	fullAnswerSent bool
	// unframedSent is set if the last complete answer of a target had neither a length nor chunks.
	unframedSent bool
}

// stream returns the request that began the stream.
func (r *request) stream() *request {
	if r.begunBy != nil {
		return r.begunBy
	}
	return r
}

// process returns the router process to which the caller connected.
func (r *request) process() processKey { return processKey{r.router, r.incarnation} }

// answer is what a caller received. Status 0 means that the connection ended before the
// response head arrived.
type answer struct {
	status int
	// requestID and signature are values of headers that the target or the router sets.
	requestID string
	signature string
	body      string
	// complete is set if the whole body arrived, according to its HTTP framing.
	complete bool
	err      error
}

// statesNotRun reports whether the status tells the caller that no target has run the request.
func (a answer) statesNotRun() bool {
	switch a.status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}
