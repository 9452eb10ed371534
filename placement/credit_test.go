package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Failure: a workspace that is held to nothing sends two requests at the same moment, and none of its
// later requests is admitted once it is held to a limit.
func TestCreditWithoutLimitStaysUsable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var c credit
	for range 3 {
		c.refill(now, math.Inf(1))
		is.True(c.tokens > 0)
		c.tokens -= 10_000
	}
	for range 10 {
		now = now.Add(time.Second)
		c.refill(now, 1000)
		is.True(c.tokens > 0)
		is.True(c.tokens <= 1000*creditTime.Seconds())
		c.tokens -= 100
	}
}

// A request may overdraw the credit; the next one waits until it is paid back.
func TestCreditIsOverdrawnByOneRequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var c credit
	c.refill(now, 1000)
	c.tokens -= 2500
	is.Equal(c.untilPositive(), 2*time.Second)
	c.refill(now.Add(time.Second), 1000)
	is.True(c.tokens <= 0)
	c.refill(now.Add(2500*time.Millisecond), 1000)
	is.True(c.tokens > 0)
}
