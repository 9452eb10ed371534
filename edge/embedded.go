package edge

import (
	"bytes"
	"slices"

	"github.com/chiveseam/chiveseam/h1"
)

// maxSentIDs is the number of the last requests of a connection of which an answer is recognized.
const maxSentIDs = 8

// noteSent records the ID of a request that is about to be sent on the connection.
func (u *upstream) noteSent(id string) {
	if len(u.sentIDs) == maxSentIDs {
		u.sentIDs = slices.Delete(u.sentIDs, 0, 1)
	}
	u.sentIDs = append(u.sentIDs, id)
}

// hasSent reports whether the request with an ID is one of the last that were sent on the connection.
func (u *upstream) hasSent(id string) bool { return slices.Contains(u.sentIDs, id) }

// statusLineStart is the beginning of the head of an answer.
var statusLineStart = []byte(h1.StatusLineStart)

// isAnswer reports whether an event of a stream holds the head of another answer.
func (u *upstream) isAnswer(event []byte, idHeader string) bool {
	return bytes.HasPrefix(cutIdleLines(event), statusLineStart) || eventHoldsHead(event) || u.holdsAnswer(event, idHeader)
}

// cutIdleLines returns an event without the empty lines and comments at its start.
func cutIdleLines(event []byte) []byte {
	for len(event) > 0 {
		n := lineLength(event)
		if n > 0 && event[0] != ':' {
			break
		}
		event = event[min(n+1, len(event)):]
	}
	return event
}

// holdsAnswer reports whether a part of a body holds the head of an answer to a request that was sent on the connection: a
// target that breaks an answer off and answers again writes that into the body. A body that merely quotes an answer does not name such
// a request. idHeader is the name of the field that does.
func (u *upstream) holdsAnswer(body []byte, idHeader string) bool {
	for {
		_, after, found := bytes.Cut(body, statusLineStart)
		if !found {
			return false
		}
		id, rest, ok := headField(after, idHeader)
		if ok && u.hasSent(id) {
			return true
		}
		body = rest
	}
}

// eventHoldsHead reports whether an event holds the head of an answer, to whatever request: a status line followed by a field
// that events do not have. In an event that quotes an answer, further lines are fields of events.
func eventHoldsHead(event []byte) bool {
	for {
		_, after, found := bytes.Cut(event, statusLineStart)
		if !found {
			return false
		}
		event = after
		if begin := statusLineLength(after); begin > 0 {
			fields := after[begin:]
			name, _, ok := bytes.Cut(fields[:lineLength(fields)], []byte(":"))
			if ok && !slices.Contains(eventFields, string(name)) {
				return true
			}
		}
	}
}

// eventFields holds the names of the fields of server-sent events. A comment has an empty name.
var eventFields = []string{"", "data", "event", "id", "retry"}

// lineLength returns the length of the first line of a text, without its end.
func lineLength(text []byte) int {
	if end := bytes.IndexAny(text, "\r\n"); end >= 0 {
		return end
	}
	return len(text)
}

const (
	// maxStatusLineBytes is the length up to which a status line is recognized.
	maxStatusLineBytes = 1024
	// versionAndStatusBytes is the length of what follows statusLineStart up to the reason phrase, such as "1 200".
	versionAndStatusBytes = 5
)

// statusLineLength returns the length of the rest of a status line with its line end, if text is what follows
// statusLineStart; 0 if it is no status line.
func statusLineLength(text []byte) int {
	const n = versionAndStatusBytes
	if len(text) <= n || text[n] > ' ' || !h1.IsStatusLine(h1.StatusLineStart+string(text[:n])) {
		return 0
	}
	return bytes.IndexByte(text[:min(len(text), maxStatusLineBytes)], '\n') + 1
}

// headField returns the value of a field of the head of an answer, if text is what follows statusLineStart, and the text
// behind the fields that were searched.
func headField(text []byte, name string) (value string, rest []byte, ok bool) {
	begin := statusLineLength(text)
	if begin == 0 {
		return "", text, false
	}
	rest = text[begin:]
	for line := range bytes.Lines(rest[:min(len(rest), maxAnswerHeadBytes)]) {
		field, value, ok := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if !ok {
			break
		}
		rest = rest[len(line):]
		if bytes.EqualFold(field, []byte(name)) {
			return string(bytes.TrimSpace(value)), rest, true
		}
	}
	return "", rest, false
}
