package edge

// byteOrderMark may be at the start of a stream of events (HTML standard, section 9.2.5).
const byteOrderMark = "\ufeff"

// lineKind is what a line of a stream is by its first byte.
type lineKind uint8

const (
	emptyLine lineKind = iota
	commentLine
	fieldLine
)

// eventScanner divides a stream into parts that are passed on as a whole: a server-sent event, which has a field and ends
// with an empty line, and each comment and empty line between two events. A line ends with a line feed, a carriage return or
// both (HTML standard, section 9.2.5).
//
// A carriage return that follows a line with another end may be the first half of an end: the next byte decides whether the line
// has ended, since the stream may break off before that, and go on from another target. A comment with the start of a status line is
// taken for the beginning of an event, so that it is not passed on before the lines that follow it.
type eventScanner struct {
	// ended is the number of events that have ended.
	ended int
	// open is the number of bytes after the end of the last part.
	open int
	// inEvent is set while the open part is an event, from the end of its first field on; line is the kind of the current line.
	inEvent bool
	line    lineKind
	// pendingCR is set after a carriage return that may be half a line end, and endedCR after one that has ended a line.
	pendingCR, endedCR bool
	// afterCR is set if the line before the current one ended with a carriage return alone.
	afterCR bool
	// hasCR and hasLF are set once a line has ended with a carriage return alone, and with a line feed.
	hasCR, hasLF bool
	// started is set after the byte order mark, of which the stream has begun with markBytes; onlyMark is set if nothing has come
	// behind it.
	started, onlyMark bool
	markBytes         int
	// statusBytes is how much of h1.StatusLineStart the current comment ends with.
	statusBytes int
}

// partKind is the result of eventScanner.scan.
type partKind uint8

const (
	// openPart: no part ends in the bytes.
	openPart partKind = iota
	// idlePart is a comment or an empty line between two events.
	idlePart
	// eventPart is an event.
	eventPart
)

// scan processes the next bytes up to the end of a part. It returns their number and what has ended.
func (s *eventScanner) scan(data []byte) (int, partKind) {
	for i, b := range data {
		if s.pendingCR && b != '\n' {
			s.pendingCR = false
			if kind := s.endLine(true); kind != openPart {
				return i, kind
			}
		}
		if kind := s.step(b); kind != openPart {
			return i + 1, kind
		}
	}
	return len(data), openPart
}

// end processes the end of the stream, after which a carriage return is a whole line end. Whether that of an event is one is
// still not known. It returns what ends there.
func (s *eventScanner) end() partKind {
	if s.onlyMark {
		s.open = 0
		return idlePart
	}
	if !s.pendingCR || s.eventBegun() {
		return openPart
	}
	s.pendingCR, s.afterCR = false, true
	return s.endLine(true)
}

// step processes the next byte. It returns what ends with it.
func (s *eventScanner) step(b byte) partKind {
	s.open++
	afterEnd := s.endedCR
	s.endedCR, s.onlyMark = false, false
	switch b {
	case '\n':
		s.pendingCR, s.hasLF = false, true
		if afterEnd {
			s.afterCR = false
		}
		if afterEnd && s.open > 1 {
			return openPart
		}
		return s.endLine(false)
	case '\r':
		if !s.afterCR {
			s.pendingCR = true
			return openPart
		}
		s.endedCR = true
		return s.endLine(true)
	}
	if !s.started {
		if s.started = b != byteOrderMark[s.markBytes]; !s.started {
			s.markBytes++
			s.started = s.markBytes == len(byteOrderMark)
			s.onlyMark = s.started
			return openPart
		}
	}
	switch {
	case s.line == emptyLine && b != ':':
		s.line = fieldLine
	case s.line == emptyLine:
		s.line, s.statusBytes = commentLine, 0
	case s.line == commentLine:
		s.stepComment(b)
	}
	return openPart
}

// stepComment processes a byte of a comment.
func (s *eventScanner) stepComment(b byte) {
	switch b {
	case statusLineStart[s.statusBytes]:
		s.statusBytes++
	case statusLineStart[0]:
		s.statusBytes = 1
	default:
		s.statusBytes = 0
	}
	if s.statusBytes == len(statusLineStart) {
		s.line = fieldLine
	}
}

// endLine ends the current line, with a carriage return alone if lone is set. It returns what ends with it.
func (s *eventScanner) endLine(lone bool) partKind {
	line, known := s.line, !lone || s.afterCR
	s.line, s.started, s.afterCR, s.hasCR = emptyLine, true, lone, s.hasCR || lone
	switch {
	case line == fieldLine || line == commentLine && s.inEvent:
		s.inEvent = true
		return openPart
	case !s.inEvent && !known:
		// What follows shows whether lines end so.
		return openPart
	case !s.inEvent:
		s.open = 0
		return idlePart
	}
	s.ended++
	s.open, s.inEvent = 0, false
	return eventPart
}

// eventBegun reports whether the open part is an event.
func (s *eventScanner) eventBegun() bool { return s.inEvent || s.line == fieldLine }

// mixedLineEnds reports whether some lines have ended with a carriage return alone, and others with a line feed.
func (s *eventScanner) mixedLineEnds() bool { return s.hasCR && s.hasLF }
