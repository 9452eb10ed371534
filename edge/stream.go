package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/routing"
)

const (
	// streamBuffer is the size of one read from a stream: some events.
	streamBuffer = 4096
	// gapPatience is the multiple of the wanted gap after which a stream that can
	// be resumed goes on at another target.
	gapPatience = 3
	// maxEventBytes bounds one event of a stream that can be resumed.
	maxEventBytes = 1 << 20
)

var eventEnd = []byte("\n\n")

// stream passes events on as they come. Of a stream that can be resumed only
// whole events are passed on, so that another target can go on after them.
func (a *attempt) stream(ctx context.Context, u *upstream, resp *h1.Response) (fate, bool) {
	c := a.call
	if err := c.reply.begin(resp); err != nil {
		return abandoned, false
	}
	body := resp.Body(u.br)
	buf := make([]byte, streamBuffer)
	var pending []byte
	for {
		u.SetReadDeadline(a.gapDeadline())
		n, err := body.Read(buf)
		if n > 0 {
			c.edge.first(a)
			var failed error
			if pending, failed = a.pass(pending, buf[:n]); failed != nil {
				return abandoned, false
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			return a.finish(pending)
		}
		if ctx.Err() != nil {
			return abandoned, false
		}
		return a.broken(err), false
	}
}

// finish ends a stream that its target ended.
func (a *attempt) finish(pending []byte) (fate, bool) {
	if a.call.reply.data(pending) != nil || a.call.reply.end() != nil {
		return abandoned, true
	}
	return answered, true
}

func (a *attempt) pass(pending, data []byte) ([]byte, error) {
	c := a.call
	if c.route.RetryPolicy != routing.Resumable {
		return nil, c.reply.data(data)
	}
	pending = append(pending, data...)
	cut := bytes.LastIndex(pending, eventEnd)
	if cut < 0 {
		if len(pending) > maxEventBytes {
			return nil, h1.ErrBodyTooLarge
		}
		return pending, nil
	}
	cut += len(eventEnd)
	if id := lastEventID(pending[:cut]); id != "" {
		c.lastEvent = id
	}
	if err := c.reply.data(pending[:cut]); err != nil {
		return nil, err
	}
	return append(pending[:0], pending[cut:]...), nil
}

// lastEventID returns the ID of the last event in whole events.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	if at < 0 {
		if !bytes.HasPrefix(events, []byte("id:")) {
			return ""
		}
		at = -1
	}
	line := events[at+1+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}

// gapDeadline is when the next bytes of a stream must have come. A stream that
// cannot be resumed is waited for until the caller gives up.
func (a *attempt) gapDeadline() time.Time {
	c := a.call
	if c.route.RetryPolicy != routing.Resumable || a.number >= c.route.MaxAttempts {
		return c.giveUp
	}
	patience := gapPatience * c.route.EventGapObjective
	if c.lastEvent == "" {
		patience = firstPatience * c.route.LatencyObjective
	}
	if at := time.Now().Add(patience); patience > 0 && at.Before(c.giveUp) {
		return at
	}
	return c.giveUp
}
