package streams

import "slices"

const (
	// minLineStreams is the number of streams with a line of a name from which on the line is usual for its service.
	minLineStreams = 4
	// maxLineNames bounds the names that are remembered of a service, and of a stream.
	maxLineNames = 64
	// maxLineStreams is the number of streams after which all counts are halved, so that old ones lose their weight.
	maxLineStreams = 4096
)

// lineNames is what is known of the lines in the streams of a service that are neither a comment nor a known field. Services may
// have fields of their own, which have the same names in many streams; names that are spoiled differ. The zero value has seen none.
type lineNames struct {
	// streams is the number of streams with a line of each name.
	streams map[string]int
	// regular counts the whole streams in which all names were usual, and irregular the others.
	regular, irregular int
	// confirmed counts the unusual lines that a second target had, too, less those that it did not.
	confirmed int
}

// note records a stream with a line of a name. It reports whether such a line is usual.
func (l *lineNames) note(name string) (usual bool) {
	if l.streams == nil {
		l.streams = make(map[string]int)
	}
	if _, known := l.streams[name]; !known {
		l.makeRoom()
	}
	usual = l.streams[name] >= minLineStreams
	if !usual {
		l.streams[name]++
	}
	return usual
}

// makeRoom forgets a name if there are too many, one that is not usual if there is one.
func (l *lineNames) makeRoom() {
	if len(l.streams) < maxLineNames {
		return
	}
	forgotten := ""
	for name, streams := range l.streams {
		if forgotten = name; streams < minLineStreams {
			break
		}
	}
	delete(l.streams, forgotten)
}

// count records a stream: whether the names of all its lines were usual.
func (l *lineNames) count(regular bool) {
	if regular {
		l.regular++
	} else {
		l.irregular++
	}
	if l.regular+l.irregular >= maxLineStreams {
		l.regular, l.irregular, l.confirmed = l.regular/2, l.irregular/2, l.confirmed/2
	}
}

// confirm records whether a second target had the same unusual lines. If it had, their names are usual from then on; otherwise they
// are forgotten.
func (l *lineNames) confirm(names []string, confirmed bool) {
	for _, name := range names {
		if confirmed {
			l.streams[name] = minLineStreams
		} else {
			delete(l.streams, name)
		}
	}
	if confirmed {
		l.confirmed++
		return
	}
	l.confirmed = max(l.confirmed-1, 0)
}

// areKnown reports whether an unusual line is a deviation: at least hits whole streams, and most streams, have had none.
func (l *lineNames) areKnown(hits int) bool {
	return l.regular >= hits && l.irregular <= l.regular && l.confirmed < maxConfirmed
}

// noteLines records the names of the lines of an event that are neither a comment nor a known field, each once for the stream.
// It returns the unusual ones, and those that are suspected at another target.
func (c *FormCheck) noteLines(names []string) (unusual []string) {
	for _, name := range names {
		if slices.Contains(c.lines, name) {
			continue
		}
		if len(c.lines) < maxLineNames {
			c.lines = append(c.lines, name)
		}
		if usual := c.form.lines.note(name); !usual || slices.Contains(c.suspected.lines, name) {
			unusual = append(unusual, name)
		}
	}
	return unusual
}
