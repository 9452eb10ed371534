package streams

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// withLines returns usual events, of which one has lines with the given names.
func withLines(names ...string) []Event {
	return append(numbered(1, 3), Event{ID: "4", HasData: true, UnknownLines: names})
}

// Guards against ORDER: engines spoil lines of four of ten streams, and the events with them are passed on, since such lines no longer
// count as unusual.
func TestSpoiledLinesAreFoundAmongMany(t *testing.T) {
	is := is.New(t)
	f := learnForm(minRegular)
	for n := range 1000 {
		lines := withLines("tokens")
		if n%5 < 2 {
			lines = withLines("tokens", fmt.Sprintf("da%d{]", n))
		}
		_, err := playForm(f, "", nil, false, lines...)
		is.Equal(err != nil, n < minLineStreams || n%5 < 2) // the field "tokens" is new
	}
	is.True(len(f.lines.streams) <= maxLineNames)
}

// Guards against LOST: sound streams of a service with a field of its own that is rare are cut for good.
func TestRareFieldBecomesUsual(t *testing.T) {
	is := is.New(t)
	f := learnForm(minRegular)
	cut := 0
	for n := range 2000 {
		events := numbered(1, 4)
		if n%20 == 0 {
			events = withLines("tokens")
		}
		if _, err := playForm(f, "", nil, false, events...); err != nil {
			cut++
		}
	}
	is.Equal(cut, minLineStreams)
}
