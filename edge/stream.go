package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

const (
	// streamBufferBytes is the size of one read from a stream; it holds several events.
	streamBufferBytes = 4096
	// gapTimeoutFactor times the route's EventGapObjective is the time without bytes after which a
	// resumable stream continues at another target.
	gapTimeoutFactor = 3
	// maxEventBytes is the largest event of a stream. More bytes without the end of an event are no
	// stream of events.
	maxEventBytes = 256 << 10
)

// Errors of streams.
var (
	// errEventTooLarge: a stream sends maxEventBytes without the end of an event.
	errEventTooLarge = errors.New("event too large")
	// errStreamBrokenOff: a stream ends where a complete one cannot end.
	errStreamBrokenOff = errors.New("stream broken off")
)

// stream forwards a stream to the caller as it comes. The second result is whether the stream was
// read to its end.
func (a *attempt) stream(ctx context.Context, u *upstream, resp *h1.Response) (attemptOutcome, bool) {
	c := a.call
	if err := c.reply.beginStream(resp); err != nil {
		return abandoned, false
	}
	body := resp.Body(u.br)
	a.checkEvents(u)
	buf := make([]byte, streamBufferBytes)
	pending := &heldBuffer{hold: a.hold}
	// eventAt is when the last event ended.
	eventAt := time.Now()
	for {
		u.SetReadDeadline(a.nextReadDeadline(eventAt, u.partialSince))
		n, err := readAvailable(body, buf)
		if n > 0 {
			c.edge.recordFirstBytes(a)
			eventsEnd := a.events.scan(buf[:n])
			if eventsEnd > 0 {
				eventAt = time.Now()
			}
			switch {
			case a.events.open == 0:
				u.partialSince = time.Time{}
			case eventsEnd > 0 || u.partialSince.IsZero():
				u.partialSince = time.Now()
			}
			a.recordProgress()
			if a.events.open > maxEventBytes {
				a.err = errEventTooLarge
				return lost, false
			}
			forwarded := time.Now()
			forwardErr := a.forwardData(pending, buf[:n], eventsEnd)
			// The time in which the caller did not read is not the target's.
			waited := time.Since(forwarded)
			eventAt = eventAt.Add(waited)
			if !u.partialSince.IsZero() {
				u.partialSince = u.partialSince.Add(waited)
			}
			switch {
			case a.spoiled != "", errors.Is(forwardErr, errMemory):
				a.err = forwardErr
				return lost, false
			case forwardErr != nil:
				return abandoned, false
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			return a.finishStream(u)
		}
		if ctx.Err() != nil {
			return abandoned, false
		}
		return a.readFailed(err), false
	}
}

// readAvailable reads what has come of a stream, as far as it fits into buf, and waits only if nothing
// has. A router that lags behind its targets finds many events and passes them on in one write.
func readAvailable(body io.Reader, buf []byte) (int, error) {
	n, err := body.Read(buf)
	for err == nil && n < len(buf) && h1.BodyReady(body) {
		var more int
		more, err = body.Read(buf[n:])
		n += more
	}
	return n, err
}

// finishStream ends a stream that the target has ended. The framing of the answer
// does not show that the stream is complete: a target or proxy that breaks it off may still end the
// body, and a crash closes the connection of an answer without a length, often between two events.
func (a *attempt) finishStream(u *upstream) (attemptOutcome, bool) {
	if a.events.open > 0 || a.closeDelimited && a.events.ended == 0 && a.call.resumeAfter() == "" {
		a.err = errStreamBrokenOff
		a.crashed = a.closeDelimited
		return lost, false
	}
	if a.closeDelimited {
		if err := a.confirmEnd(u); err != nil {
			a.err = err
			a.crashed = a.processCrashed()
			a.targetGone = a.crashed && a.end != evidenceWitnessEnded
			return lost, false
		}
	}
	if err := a.events.end(); err != nil {
		a.noteSpoiled(err)
		a.err, a.call.gapPassed = err, true
		return lost, false
	}
	if a.call.reply.endStream() != nil {
		return abandoned, true
	}
	return answered, true
}

// unknownEventID stands for the last event of a caller that takes up a stream that may not be resumed: where the target goes on
// is not known.
const unknownEventID = "unknown"

// checkEvents begins to check the events of the answer on u.
func (a *attempt) checkEvents(u *upstream) {
	c, e := a.call, a.call.edge
	origin := streams.Origin{Service: placement.Hash(c.service), Version: placement.VersionHash(a.target.Version)}
	a.events.numberings = &e.numberings
	a.events.fields = e.headers.EventFields
	last := c.resumeAfter()
	resumable := c.route.RetryPolicy == routing.Resumable
	if !resumable && last != "" {
		last = unknownEventID
	}
	a.events.sequence = e.numberings.sequence(origin, last, c.suspectedGap, resumable && a.number < c.route.MaxAttempts)
	a.events.isAnswer = func(event []byte) bool {
		return bytes.HasPrefix(bytes.TrimLeft(event, "\r\n"), statusLineStart) || eventHoldsHead(event) ||
			u.holdsAnswer(event, e.headers.RequestID)
	}
}

// forwardData sends the complete events of pending and data, two successive parts of a stream, to the caller, up to the first
// one that does not go on with the stream: the last one ends at data[eventsEnd]; 0 means that none ends in data. The
// rest stays in pending, so that another target can continue after an event.
// The error is that of eventGate.admit, errMemory or that of the caller's connection.
func (a *attempt) forwardData(pending *heldBuffer, data []byte, eventsEnd int) error {
	if eventsEnd == 0 {
		return pending.append(data)
	}
	events := data[:eventsEnd]
	if len(pending.data) > 0 {
		if err := pending.append(events); err != nil {
			return err
		}
		events = pending.data
	}
	admitted, spoiledErr := a.events.admit(events)
	if admitted > 0 {
		a.recordEvents()
		if err := a.call.reply.sendData(events[:admitted]); err != nil {
			return err
		}
	}
	if spoiledErr != nil {
		a.noteSpoiled(spoiledErr)
		if gap := a.events.sequence.Gap(); gap != nil {
			a.call.suspectedGap = gap
		}
		a.call.lastDoubtful = a.events.sequence.LastDoubtful()
		return spoiledErr
	}
	pending.release()
	return pending.append(data[eventsEnd:])
}

// recordEvents records how far the caller of a resumable stream will have received it.
func (a *attempt) recordEvents() {
	c := a.call
	if c.route.RetryPolicy != routing.Resumable {
		return
	}
	if a.events.lastID != "" {
		c.lastEventID = a.events.lastID
	}
	c.unidentified = a.events.unidentified
	a.recordOrigin()
}

// nextReadDeadline returns the time by which the next event of a stream must end, if the last one
// ended at eventAt: bytes that end no event do not extend it. For a stream that cannot be resumed or
// sent to another target, it is the request's deadline. An event of which the first part came at partialSince
// must end within maxPartialTime in any case.
func (a *attempt) nextReadDeadline(eventAt, partialSince time.Time) time.Time {
	deadline := a.eventDeadline(eventAt)
	if end := partialSince.Add(maxPartialTime); !partialSince.IsZero() && end.Before(deadline) {
		return end
	}
	return deadline
}

// eventDeadline is nextReadDeadline before the first part of the event has come.
func (a *attempt) eventDeadline(eventAt time.Time) time.Time {
	c := a.call
	if c.route.RetryPolicy != routing.Resumable || a.number >= c.route.MaxAttempts {
		return c.deadline
	}
	timeout := gapTimeoutFactor * c.route.EventGapObjective
	if c.lastEventID == "" {
		timeout = firstEventTimeoutFactor * c.route.LatencyObjective
	}
	if deadline := eventAt.Add(timeout); timeout > 0 && deadline.Before(c.deadline) {
		return deadline
	}
	return c.deadline
}
