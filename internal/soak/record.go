package soak

import (
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// route is one of the routes that callers use.
type route struct {
	name, path string
	service    string
	once       bool
	stream     bool
	resumable  bool
	timeout    time.Duration
	attempts   int
}

// Places in routes.
const (
	onceRoute = iota
	idemRoute
	chatRoute
)

var routes = []route{
	{name: "once", path: "/once/", service: plainService, once: true, timeout: 1500 * time.Millisecond, attempts: 2},
	{name: "idem", path: "/idem/", service: plainService, timeout: 1500 * time.Millisecond, attempts: 2},
	{name: "chat", path: "/chat/", service: streamService, stream: true, resumable: true, timeout: 4 * time.Second, attempts: 3},
	{name: "draft", path: "/draft/", service: streamService, stream: true, once: true, timeout: 4 * time.Second, attempts: 2},
}

const (
	plainService  = "desk"
	streamService = "llm"
)

// request is one attempt of a caller, as the caller saw it.
type request struct {
	id        string
	route     route
	router    int
	boot      int
	method    string
	path      string
	body      string
	workspace string
	// probe is the version whose own route is asked for; 0 for other requests.
	probe uint64
	// unknownKey requests carry a key that no configuration holds.
	unknownKey bool
	// sent is when the first byte was sent, ended when the answer or the end came.
	sent, ended time.Time
	// left is when the caller closed its connection before the answer.
	left   time.Time
	answer answer
	runs   []standin.Run
	// whole is set once a target has sent its whole answer.
	whole bool
}

// answer is what a caller received. Status 0 says that the connection ended before a
// head came.
type answer struct {
	status    int
	requestID string
	signature string
	body      string
	// complete is set if the body came whole by its framing.
	complete bool
	err      error
}

func (a answer) promisesNotRun() bool {
	switch a.status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}
