package edge

import (
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
	// eventAt is when the last event or comment ended.
	eventAt := time.Now()
	for {
		u.SetReadDeadline(a.nextReadDeadline(eventAt, u.partialSince))
		n, err := readAvailable(body, buf)
		if n > 0 {
			c.edge.recordFirstBytes(a)
			text, memoryErr := pending.join(buf[:n])
			if memoryErr != nil {
				a.err = memoryErr
				return lost, false
			}
			admitted, spoiledErr := a.events.admit(text)
			if admitted > 0 {
				eventAt = time.Now()
			}
			switch {
			case !a.events.eventBegun():
				u.partialSince = time.Time{}
			case admitted > 0 || u.partialSince.IsZero():
				u.partialSince = time.Now()
			}
			a.recordProgress()
			if a.events.open > maxEventBytes {
				a.err = errEventTooLarge
				return lost, false
			}
			forwarded := time.Now()
			forwardErr := a.forwardData(text[:admitted])
			// The time in which the caller did not read is not the target's.
			waited := time.Since(forwarded)
			eventAt = eventAt.Add(waited)
			if !u.partialSince.IsZero() {
				u.partialSince = u.partialSince.Add(waited)
			}
			if forwardErr != nil {
				return abandoned, false
			}
			if spoiledErr != nil {
				a.noteSpoiledStream(spoiledErr)
				return lost, false
			}
			if a.err = pending.keep(text[admitted:]); a.err != nil {
				return lost, false
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			return a.finishStream(u, pending.data, a.nextReadDeadline(eventAt, u.partialSince))
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

// finishStream ends a stream that the target has ended; rest is what was not forwarded of it. The framing of the answer
// does not show that the stream is complete: a target or proxy that breaks it off may still end the
// body, and a crash closes the connection of an answer without a length, often between two events. The target has until deadline
// to take the rest of the request.
func (a *attempt) finishStream(u *upstream, rest []byte, deadline time.Time) (attemptOutcome, bool) {
	admitted, spoiledErr := a.events.admitEnd(rest)
	if spoiledErr != nil {
		a.noteSpoiledStream(spoiledErr)
		return lost, false
	}
	if a.events.open > 0 || a.closeDelimited && a.events.ended == 0 && a.call.resumeAfter() == "" {
		a.err = errStreamBrokenOff
		a.crashed = a.closeDelimited
		return lost, false
	}
	if a.closeDelimited {
		if err := a.confirmEnd(u, deadline); err != nil {
			outcome := a.readFailed(err)
			a.targetGone = a.crashed && a.end.processEnded() && a.end != evidenceWitnessEnded
			return outcome, false
		}
	}
	if err := a.events.complete(); err != nil {
		a.noteSpoiled(err)
		a.err, a.call.gapPassed = err, true
		return lost, false
	}
	if a.forwardData(rest[:admitted]) != nil || a.call.reply.endStream() != nil {
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
	a.events.continues = c.reply.dataBegun
	a.events.forms = &e.forms
	last, lastOfForm := c.resumeAfter(), c.resumeAfter()
	resumable := c.route.RetryPolicy == routing.Resumable
	if !resumable && last != "" {
		last, lastOfForm = unknownEventID, ""
	}
	target := placement.Hash(a.target.ID)
	a.events.sequence = e.numberings.sequence(origin, last, c.suspectedGap, a.mayContinue(), target)
	a.events.form = e.forms.check(origin, lastOfForm, c.suspectedForm, a.mayContinue(), target)
	a.events.isAnswer = func(event []byte) bool { return u.isAnswer(event, e.headers.RequestID) }
}

// forwardData sends a part of the stream, which may be empty, to the caller.
func (a *attempt) forwardData(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	a.recordEvents()
	return a.call.reply.sendData(a.events.cutMark(data))
}

// noteSpoiledStream records why the rest of the stream is not passed on.
func (a *attempt) noteSpoiledStream(err error) {
	a.err = err
	a.noteSpoiled(err)
	if gap := a.events.gap(); gap != nil {
		a.call.suspectedGap = gap
	}
	a.call.lastDoubtful = a.events.sequence.LastDoubtful()
	if deviation := a.events.form.Deviation(); deviation != nil {
		a.call.suspectedForm = deviation
	}
}

// recordEvents records how far the caller of a resumable stream will have received it, and where a stream goes on whose route has come
// to another service.
func (a *attempt) recordEvents() {
	c := a.call
	if c.route.RetryPolicy != routing.Resumable {
		if c.movedVersion != 0 {
			a.recordOrigin()
		}
		return
	}
	if a.events.lastID != "" {
		c.lastEventID = a.events.lastID
	}
	c.unidentified, c.halfEnd = a.events.unidentified, a.events.halfEnd
	a.recordOrigin()
}

// mayContinue reports whether another target may continue the stream if this one fails.
func (a *attempt) mayContinue() bool {
	return a.call.route.RetryPolicy == routing.Resumable && a.number < a.call.route.MaxAttempts && a.hasAlternative
}

// nextReadDeadline returns the time by which the next event of a stream must end, if the last one
// ended at eventAt: bytes that end neither an event nor a comment do not extend it. An event of which the first part came at
// partialSince must end within maxPartialTime in any case. For a stream that no other target may continue, it is the request's
// deadline: a silent target may still be at work.
func (a *attempt) nextReadDeadline(eventAt, partialSince time.Time) time.Time {
	c := a.call
	if !a.mayContinue() {
		return c.deadline
	}
	deadline := c.deadline
	timeout := gapTimeoutFactor * c.route.EventGapObjective
	if c.lastEventID == "" {
		timeout = firstEventTimeoutFactor * c.route.LatencyObjective
	}
	if end := eventAt.Add(timeout); timeout > 0 && end.Before(deadline) {
		deadline = end
	}
	if end := partialSince.Add(maxPartialTime); !partialSince.IsZero() && end.Before(deadline) {
		deadline = end
	}
	return deadline
}
