package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSilenceCountsFromTheBeginningOfTheWait(t *testing.T) {
	is := is.New(t)
	const limit = 2 * time.Second
	start := time.Unix(0, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var p pulse
	p.heard(start)
	is.True(!p.quiet(at(19), limit)) // nothing waits
	is.True(p.quiet(at(20), limit))  // idle for too long
	p.setWaiting(true, at(10))
	p.setWaiting(true, at(11))
	is.True(!p.quiet(at(11), limit))
	is.True(p.quiet(at(12), limit))
	p.heard(at(12))
	is.True(!p.quiet(at(13), limit))
	p.setWaiting(false, at(13))
	is.True(!p.quiet(at(30), limit))
	is.True(p.quiet(at(32), limit))
}
