package edge

import (
	"bytes"
	"errors"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/streams"
)

// eventGate decides which events of a stream are passed on: each is whole, belongs to the answer and goes on from the one
// before it.
type eventGate struct {
	eventScanner
	// sequence checks the IDs, and numberings guards what it learns.
	sequence   *streams.Sequence
	numberings *numberings
	// form checks the form of the events, and forms guards what it learns.
	form  *streams.FormCheck
	forms *forms
	// isAnswer reports whether an event holds the head of another answer.
	isAnswer func(event []byte) bool
	// firstID and lastID are the IDs of the first and of the last event that has one.
	firstID, lastID string
	// unidentified is set if an event with data has come since the last one with an ID.
	unidentified bool
	// halfEnd is set if the last event ended with a carriage return alone, but not all lines have.
	halfEnd bool
	// begun is set once a part of the stream was admitted. continues is set before the first part is forwarded, if the caller
	// has received a part of the stream from another target.
	begun, continues bool
	// tally counts the events that are not formed as usual.
	tally eventTally
	// fields holds the names of the fields that events may have besides those of the standard.
	fields []string
}

// eventTally counts events, for the logs.
type eventTally struct {
	// unidentified have data but no ID, malformed have bytes that are no text, and unknown have lines that are neither a
	// comment nor a known field. crEnded end with a carriage return alone.
	unidentified, malformed, unknown, crEnded int
}

// add counts an event.
func (t *eventTally) add(event []byte, parsed parsedEvent) {
	if parsed.hasData && parsed.id == "" {
		t.unidentified++
	}
	if parsed.malformed {
		t.malformed++
	}
	if len(parsed.unknownLines) > 0 {
		t.unknown++
	}
	if bytes.HasSuffix(event, []byte("\r")) {
		t.crEnded++
	}
}

// Errors of events that do not go on with their stream, besides those of streams.Sequence.
var (
	// errAnswerInStream: another answer begins between two events or within one.
	errAnswerInStream = errors.New("another answer within the stream")
	// errJoinedEvents: an event has two IDs, so it is of parts of two.
	errJoinedEvents = errors.New("event with two IDs")
	// errMalformedText: event streams are UTF-8 (HTML standard, section 9.2.5), and no text has NUL in it.
	errMalformedText = errors.New("event with malformed text")
)

// admit checks a text that begins with the open part of the stream and goes on with its next bytes. It returns the number of bytes
// up to the end of the last part of it, or up to the first part that must not be passed on and the reason for that.
func (g *eventGate) admit(text []byte) (int, error) {
	admitted := 0
	for scanned := g.open; ; {
		n, kind := g.scan(text[scanned:])
		if kind == openPart {
			return admitted, nil
		}
		scanned += n
		if err := g.check(text[admitted:scanned], kind); err != nil {
			return admitted, err
		}
		admitted = scanned
	}
}

// admitEnd checks what is open at the end of the stream, as admit does.
func (g *eventGate) admitEnd(text []byte) (int, error) {
	kind := g.end()
	if kind == openPart {
		return 0, nil
	}
	if err := g.check(text, kind); err != nil {
		return 0, err
	}
	return len(text), nil
}

// cutMark returns admitted data without the byte order mark at the start of a stream that continues what another target began:
// within the caller's stream it would be part of a field's name.
func (g *eventGate) cutMark(data []byte) []byte {
	if g.continues && len(data) > 0 {
		g.continues = false
		return bytes.TrimPrefix(data, []byte(byteOrderMark))
	}
	return data
}

// check returns the reason why a part of the stream must not be passed on; nil if there is none.
func (g *eventGate) check(part []byte, kind partKind) error {
	if !g.begun {
		part = bytes.TrimPrefix(part, []byte(byteOrderMark))
	}
	if kind == eventPart && g.isAnswer(part) {
		return errAnswerInStream
	}
	parsed, err := parseEvent(part, g.fields)
	g.tally.add(part, parsed)
	switch {
	case err != nil:
		return err
	case parsed.malformed:
		return errMalformedText
	}
	if err := g.checkForm(parsed, kind); err != nil {
		return err
	}
	id := parsed.id
	if id != "" {
		if err := g.next(parsed); err != nil {
			return err
		}
		if g.firstID == "" {
			g.firstID = id
		}
		g.lastID = id
	}
	g.unidentified = id == "" && (g.unidentified || parsed.hasData)
	if kind == eventPart {
		g.halfEnd = g.mixedLineEnds() && bytes.HasSuffix(part, []byte("\r"))
	}
	g.begun = true
	return nil
}

// checkForm checks the form of a part.
func (g *eventGate) checkForm(parsed parsedEvent, kind partKind) error {
	mixed := g.mixedLineEnds()
	if kind != eventPart && !mixed {
		return nil
	}
	g.forms.mu.Lock()
	defer g.forms.mu.Unlock()
	return g.form.Next(streams.Event{
		ID: parsed.id, Type: parsed.eventType, HasData: parsed.hasData, UnknownLines: parsed.unknownLines, MixedLineEnds: mixed,
		At: time.Now(),
	})
}

// complete checks a stream that ends as whole, and records its form if nothing is missing.
func (g *eventGate) complete() error {
	if err := g.completeNumbers(); err != nil {
		return err
	}
	g.forms.mu.Lock()
	defer g.forms.mu.Unlock()
	g.form.End()
	return nil
}

// completeNumbers checks the IDs of a stream that ends as whole.
func (g *eventGate) completeNumbers() error {
	g.numberings.mu.Lock()
	defer g.numberings.mu.Unlock()
	return g.sequence.End()
}

// next checks the ID of the next event.
func (g *eventGate) next(e parsedEvent) error {
	g.numberings.mu.Lock()
	defer g.numberings.mu.Unlock()
	return g.sequence.Next(streams.Event{ID: e.id, DataBytes: e.dataBytes, At: time.Now()})
}

// gap returns where events seem to be missing; nil if that is nowhere, or the answer is no stream.
func (g *eventGate) gap() *streams.Gap {
	if g.sequence == nil {
		return nil
	}
	return g.sequence.Gap()
}

// largerSteps returns how often an ID was above the one before it by more than usual, and the event was passed on.
func (g *eventGate) largerSteps() int {
	if g.sequence == nil {
		return 0
	}
	return g.sequence.LargerSteps()
}

// parsedEvent is what the router reads of an event.
type parsedEvent struct {
	// id is the ID and eventType the type, "" if it has none. hasData is set if it has data: callers ignore others.
	id, eventType string
	hasData       bool
	// dataBytes is the size of its data, without the lines' ends.
	dataBytes int
	// unknownLines are the names of lines that are neither a comment nor a known field, up to maxUnknownLines.
	unknownLines []string
	// malformed is set if bytes are no text: malformed UTF-8 or NUL.
	malformed bool
}

const (
	// maxUnknownLines bounds the names of unknown lines that are kept of an event, and maxLineNameBytes each of them.
	maxUnknownLines  = 64
	maxLineNameBytes = 64
)

// parseEvent parses an event, of which the standard and fields name the fields. It fails with errJoinedEvents.
func parseEvent(event []byte, fields []string) (parsedEvent, error) {
	parsed := parsedEvent{malformed: !utf8.Valid(event) || bytes.IndexByte(event, 0) >= 0}
	for len(event) > 0 {
		n := lineLength(event)
		line := event[:n]
		event = event[min(n+1, len(event)):]
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case string(name) == "data":
			parsed.hasData = true
			parsed.dataBytes += len(value)
		case string(name) == "id":
			if value = bytes.TrimSpace(value); len(value) == 0 {
				continue
			}
			if parsed.id != "" {
				return parsed, errJoinedEvents
			}
			parsed.id = string(value)
		case string(name) == "event":
			parsed.eventType = string(bytes.TrimSpace(value))
		case len(line) > 0 && len(parsed.unknownLines) < maxUnknownLines && !slices.Contains(eventFields, string(name)) && !slices.Contains(fields, string(name)):
			parsed.unknownLines = append(parsed.unknownLines, string(name[:min(len(name), maxLineNameBytes)]))
		}
	}
	return parsed, nil
}

// numberings is what is learned of the IDs of events. The mutex guards the map and all that it holds.
type numberings struct {
	mu        sync.Mutex
	byVersion streams.Numberings
}

// sequence returns the check of a stream at a target of a version of a service.
func (n *numberings) sequence(origin streams.Origin, last string, suspected *streams.Gap, mayRetry bool, target uint32) *streams.Sequence {
	n.mu.Lock()
	defer n.mu.Unlock()
	return streams.NewSequence(n.byVersion.Of(origin), last, suspected, mayRetry, target)
}

// fillReport adds to a report what has been learned lately.
func (n *numberings) fillReport(r *v1.LoadReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byVersion.FillReport(time.Now(), r)
}

// mergeReport learns what another router reports.
func (n *numberings) mergeReport(r *v1.LoadReport) {
	if len(r.Numberings) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byVersion.MergeReport(time.Now(), r)
}

// messages returns all that is known, in lists that fit into a report each.
func (n *numberings) messages() [][]*v1.EventNumbering {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byVersion.Messages(time.Now())
}

// forms is what is learned of the form of streams. The mutex guards the map and all that it holds.
type forms struct {
	mu        sync.Mutex
	byVersion streams.Forms
}

// check returns the check of a stream at a target of a version of a service.
func (f *forms) check(origin streams.Origin, last string, suspected *streams.Deviation, mayRetry bool, target uint32) *streams.FormCheck {
	f.mu.Lock()
	defer f.mu.Unlock()
	return streams.NewFormCheck(f.byVersion.Of(origin), last, suspected, mayRetry, target)
}
