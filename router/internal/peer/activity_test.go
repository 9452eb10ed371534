package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stream may be silent for long while no demand waits on it. When a demand
// begins to wait, this earlier silence must not end the stream at once.
func TestSilenceCountsFromTheBeginningOfTheWait(t *testing.T) {
	is := is.New(t)
	const limit = 2 * time.Second
	start := time.Unix(0, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var a streamActivity
	a.received(start)
	is.True(!a.silent(at(19), limit)) // no demand waits
	is.True(a.silent(at(20), limit))  // no demand waits, but the idle limit is reached
	a.setWaiting(true, at(10))
	a.setWaiting(true, at(11))
	is.True(!a.silent(at(11), limit))
	is.True(a.silent(at(12), limit))
	a.received(at(12))
	is.True(!a.silent(at(13), limit))
	a.setWaiting(false, at(13))
	is.True(!a.silent(at(30), limit))
	is.True(a.silent(at(32), limit))
}
