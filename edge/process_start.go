package edge

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/routing"
)

const (
	// processStartTimeout limits the time to ask a process when it started.
	processStartTimeout = 500 * time.Millisecond
	// maxProcessStartBytes limits the body of the answer.
	maxProcessStartBytes = 16 << 10
)

var (
	// errOtherProcess: the process at the address of a target is not the one of its registration.
	errOtherProcess = errors.New("another process than the registered one")
	// errProcessUnknown: the process does not state its start, and the stream goes on at one version only.
	errProcessUnknown = errors.New("process does not state its start")
)

// asksForStart reports whether the process of a target says when it started.
func (e *Edge) asksForStart(t routing.Target) bool {
	table := e.table.Load()
	return e.inspector != nil && t.StartedUnixMs > 0 && table != nil && table.Services[t.Service].Engine != nil
}

// checkProcess asks, unless u has been asked before, whether the process at the other end of u is that of the
// registration of t: a target that has started again under its ID, or another one at its address, may be of another
// software version. A connection has one process for as long as it lasts. What the answer holds counts
// in h. The error wraps errOtherProcess, or says why the connection is of no use.
func (e *Edge) checkProcess(u *upstream, t routing.Target, h *hold) error {
	if !e.asksForStart(t) {
		return nil
	}
	if !u.startAsked {
		started, answered, err := e.processStart(u, h)
		if err != nil {
			return fmt.Errorf("ask for the start: %w", err)
		}
		u.startAsked, u.started = answered, started
	}
	if u.started != 0 && u.started != t.StartedUnixMs {
		level.Warn(e.logger).Log("event", "other_process", "target", t.ID, "target_version", t.Version,
			"registered_start_ms", t.StartedUnixMs, "start_ms", u.started, "kept_connection", u.reused)
		return errOtherProcess
	}
	return nil
}

// checkProcess checks the process at the other end of u before it gets the request. One that does not state its start,
// although the registration does, may be of any version: a stream may begin there, but goes on only if its service has
// had one version. The error wraps errOtherProcess or errProcessUnknown, or says why the connection is of no use.
func (a *attempt) checkProcess(u *upstream) error {
	c, e := a.call, a.call.edge
	if err := e.checkProcess(u, a.target, a.hold); err != nil {
		return err
	}
	a.statedStart = u.started
	a.processUnknown = u.started == 0 && e.asksForStart(a.target)
	if !a.processUnknown || c.resumeAfter() == "" {
		return nil
	}
	if !e.hasOneVersion(c.route, c.deadline) {
		return errProcessUnknown
	}
	return nil
}

// processStart asks the process at the other end of an unused connection for the Unix time in ms of its start; 0 if
// its answer does not state it. answered is false if the process could not say, and may be asked again.
func (e *Edge) processStart(u *upstream, h *hold) (started int64, answered bool, err error) {
	deadline := time.Now().Add(processStartTimeout)
	u.SetDeadline(deadline)
	head := h1.AppendRequestHead(nil, http.MethodGet, e.inspector.StartPath(), h1.Header{{Name: "Host", Value: u.address}}, 0)
	u.questioned = true
	if _, err := u.Write(head); err != nil {
		return 0, false, err
	}
	resp, body, more, err := readUnnamed(u, h, deadline, e.headers.RequestID)
	u.SetDeadline(time.Time{})
	switch {
	case err != nil:
		return 0, false, err
	case more:
		return 0, false, h1.ErrBodyTooLarge
	case !resp.Reusable():
		return 0, false, errNotReusable
	case resp.Status != http.StatusOK:
		return 0, false, nil
	}
	return e.inspector.StartTime(body), true, nil
}

// readUnnamed reads the answer to a question of the router, which has no ID. It skips late answers to requests that were sent on
// the connection. more is set if the body is longer than maxProcessStartBytes.
func readUnnamed(u *upstream, h *hold, deadline time.Time, idHeader string) (resp *h1.Response, body []byte, more bool, err error) {
	for range maxOtherAnswers + 1 {
		u.beginHead(h, deadline)
		resp, err = h1.ReadResponse(u.br, http.MethodGet, maxAnswerHeadBytes)
		u.endHead()
		if err != nil {
			return nil, nil, false, err
		}
		buf := heldBuffer{hold: h}
		more, err = buf.readAll(resp.Body(u.br), resp.Length(), maxProcessStartBytes)
		id := resp.Header.Get(idHeader)
		if err != nil || more || id == "" || !u.hasSent(id) {
			return resp, buf.data, more, err
		}
	}
	return nil, nil, false, errOtherAnswer
}

var errNotReusable = errors.New("connection cannot be used again")
