package edge

import (
	"bytes"
	"errors"
	"slices"
	"sync"
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
	// isAnswer reports whether an event holds the head of another answer.
	isAnswer func(event []byte) bool
	// firstID and lastID are the IDs of the first and of the last event that has one.
	firstID, lastID string
	// unidentified is set if an event with data has come since the last one with an ID.
	unidentified bool
	// tally counts the events that are not formed as usual.
	tally eventTally
	// fields holds the names of the fields that events may have besides those of the standard.
	fields []string
}

// eventTally counts events, for the logs.
type eventTally struct {
	// unidentified have data but no ID, malformed have bytes that are no text, and unknown have lines that are neither a
	// comment nor a known field. crEnded end with a carriage return, so far without a line feed.
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
	if parsed.unknownLines > 0 {
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
)

// admit returns the number of bytes of complete events up to the first one that must not be passed on, and the reason for
// that; nil if there is none.
func (g *eventGate) admit(events []byte) (int, error) {
	admitted := 0
	for admitted < len(events) {
		event := leadingEvent(events[admitted:])
		if g.isAnswer(event) {
			return admitted, errAnswerInStream
		}
		parsed, err := parseEvent(event, g.fields)
		g.tally.add(event, parsed)
		if err != nil {
			return admitted, err
		}
		id := parsed.id
		if id != "" {
			if err := g.next(id); err != nil {
				return admitted, err
			}
			if g.firstID == "" {
				g.firstID = id
			}
			g.lastID = id
		}
		g.unidentified = id == "" && (g.unidentified || parsed.hasData)
		admitted += len(event)
	}
	return admitted, nil
}

// next checks the ID of the next event.
func (g *eventGate) next(id string) error {
	g.numberings.mu.Lock()
	defer g.numberings.mu.Unlock()
	return g.sequence.Next(id)
}

// end checks a stream that ends as whole.
func (g *eventGate) end() error {
	g.numberings.mu.Lock()
	defer g.numberings.mu.Unlock()
	return g.sequence.End()
}

// leadingEvent returns the first event of some, with the empty lines before it and its end.
func leadingEvent(events []byte) []byte {
	var s eventScanner
	for i, b := range events {
		if s.step(b); s.ended == 0 {
			continue
		}
		end := i + 1
		if b == '\r' && bytes.HasPrefix(events[end:], []byte("\n")) {
			end++
		}
		return events[:end]
	}
	return events
}

// parsedEvent is what the router reads of an event.
type parsedEvent struct {
	// id is the ID, "" if it has none. hasData is set if it has data: callers ignore others.
	id      string
	hasData bool
	// unknownLines is the number of lines that are neither a comment nor a known field.
	unknownLines int
	// malformed is set if bytes are no text: malformed UTF-8 or NUL.
	malformed bool
}

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
		case string(name) == "id":
			if value = bytes.TrimSpace(value); len(value) == 0 {
				continue
			}
			if parsed.id != "" {
				return parsed, errJoinedEvents
			}
			parsed.id = string(value)
		case len(line) > 0 && !slices.Contains(eventFields, string(name)) && !slices.Contains(fields, string(name)):
			parsed.unknownLines++
		}
	}
	return parsed, nil
}

// numberings is what is learned of the IDs of events. The mutex guards the map and all that it holds.
type numberings struct {
	mu        sync.Mutex
	byVersion streams.Numberings
}

// sequence returns the check of a stream at a version of a service.
func (n *numberings) sequence(origin streams.Origin, last string, suspected *streams.Gap, mayRetry bool) *streams.Sequence {
	n.mu.Lock()
	defer n.mu.Unlock()
	return streams.NewSequence(n.byVersion.Of(origin), last, suspected, mayRetry)
}

// fillReport adds to a report what has been learned lately.
func (n *numberings) fillReport(r *v1.LoadReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byVersion.FillReport(r)
}

// mergeReport learns what another router reports.
func (n *numberings) mergeReport(r *v1.LoadReport) {
	if len(r.Numberings) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byVersion.MergeReport(r)
}

// messages returns all that is known, in lists that fit into a report each.
func (n *numberings) messages() [][]*v1.EventNumbering {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byVersion.Messages()
}
