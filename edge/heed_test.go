package edge

import (
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/placement"
)

// Failure: a target says in any of its answers that it leaves, and gets more requests since its
// registration is still ready.
func TestAnswerOfALeavingTargetEndsItsUse(t *testing.T) {
	for name, handle := range map[string]func(s *receivedRequest){
		"answer": func(s *receivedRequest) {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nT-Leaving: 1\r\nContent-Length: 1\r\n\r\nx")
		},
		"rejection": func(s *receivedRequest) {
			s.write("HTTP/1.1 503 X\r\nT-Id: %ID\r\nT-Not-Run: 1\r\nT-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"failure": func(s *receivedRequest) {
			s.write("HTTP/1.1 500 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nT-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"interim answer": func(s *receivedRequest) {
			s.write("HTTP/1.1 103 X\r\nT-Leaving: 1\r\n\r\nHTTP/1.1 102 X\r\n\r\n")
			s.answer(200, "x")
		},
		"other request": func(s *receivedRequest) {
			s.write("HTTP/1.1 200 X\r\nT-Id: other\r\nT-Signed: yes\r\nT-Leaving: 1\r\nContent-Length: 1\r\n\r\nx")
			s.answer(200, "x")
		},
	} {
		t.Run(name, func(t *testing.T) {
			leaving := newTestTarget(t, "t1", handle)
			f := newFixture(t, leaving)
			f.client().call("POST", "/idempotent/")
			for range 3 {
				resp, _, err := f.client().call("POST", "/idempotent/")
				f.is.NoErr(err)
				f.is.Equal(resp.Status, 503)
			}
			f.is.Equal(len(leaving.requests()), 1)
			f.is.True(f.logs.contains(`"event":"target_leaving"`))
		})
	}
}

// Another target at the address of a former one says that it leaves. That is no word of the former
// one's.
func TestMisdirectedAnswerSaysNothingOfTheTarget(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
		s.write("HTTP/1.1 421 X\r\nT-Id: %ID\r\nT-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
	})
	f := newFixture(t, target)
	f.client().call("POST", "/once/")
	f.client().call("POST", "/once/")
	f.is.Equal(len(target.requests()), 2)
}

// Failure: a target turns a request away and asks for a pause, and gets the next requests all the
// same. Callers are told at once when it ends.
func TestTargetThatAsksForAPauseGetsNone(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
		s.write("HTTP/1.1 503 X\r\nT-Id: %ID\r\nT-Not-Run: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n")
	})
	f := newFixture(t, target)
	began := time.Now()
	for range 5 {
		resp, _, err := f.client().call("POST", "/once/")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 503)
		f.is.Equal(ranHeader(resp), "NO")
	}
	resp, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.True(strings.HasPrefix(resp.Header.Get("Retry-After"), "1."))
	f.is.Equal(len(target.requests()), 1)
	time.Sleep(time.Until(began.Add(1700 * time.Millisecond)))
	f.client().call("POST", "/once/")
	f.is.Equal(len(target.requests()), 2)
}

func TestRetryAfterIsParsed(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, " 0.25 ": 250 * time.Millisecond, "-1": 0, "0": 0, "x": 0, "NaN": 0, "1e300": placement.MaxPause,
		"Inf": placement.MaxPause, "Fri, 04 Dec 2026 14:00:00 GMT": 0, "1, 3": 3 * time.Second,
	} {
		is.Equal(retryAfter(h1.Header{{Name: "retry-after", Value: text}}), want)
	}
	is.Equal(retryAfter(h1.Header{{Name: "Retry-After", Value: "1"}, {Name: "Retry-After", Value: "2"}}), 2*time.Second)
}

// Whatever the field holds, the time stays between 0 and the bound.
func FuzzRetryAfter(f *testing.F) {
	for _, text := range []string{"1", "-1", "1e9", "a, 2", "0x1p3", "+Inf"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if d := retryAfter(h1.Header{{Name: "Retry-After", Value: text}}); d < 0 || d > placement.MaxPause {
			t.Fatalf("%q: %v", text, d)
		}
	})
}

func TestRateLimitIsParsed(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]float64{"5.1": 5.1, " 2 ": 2, "0": 0, "1e3": 1000} {
		limit, err := ParseRateLimit([]string{text})
		is.NoErr(err)
		is.Equal(limit, want)
	}
	for _, text := range []string{"", "x", "-1", "NaN", "Inf", "1, 2", "1/s"} {
		_, err := ParseRateLimit([]string{text})
		is.True(err != nil)
	}
	limit, err := ParseRateLimit([]string{"3", "2"})
	is.NoErr(err)
	is.Equal(limit, 2.0)
	limit, err = ParseRateLimit(nil)
	is.NoErr(err)
	is.True(math.IsInf(limit, 1))
}

// Operators see which limits targets name, and when they end.
func TestRateLimitIsLogged(t *testing.T) {
	answers := 0
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
		if answers++; answers == 1 {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nT-Limit: 5.1\r\nContent-Length: 1\r\n\r\nx")
			return
		}
		s.answer(200, "x")
	})
	f := newFixture(t, target)
	f.client().call("POST", "/once/")
	f.await(func() bool { return f.logs.contains(`"event":"target_limited"`, `"per_second":5.1`) })
	f.await(func() bool {
		// Requests beyond the limit are refused.
		f.client().call("POST", "/once/")
		return f.logs.contains(`"event":"target_limited"`, `"per_second":null`)
	})
}

// Guards against the incident LIMIT: a target names in its answers how many requests per second it
// takes, and gets all that come.
func TestTargetThatNamesARateLimitGetsNoMore(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
		s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nT-Limit: 2\r\nContent-Length: 1\r\n\r\nx")
	})
	f := newFixture(t, target)
	c := f.client()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, _, err := c.call("POST", "/once/")
		f.is.NoErr(err)
		if resp.Status == 200 {
			continue
		}
		f.is.Equal(resp.Status, 503)
		f.is.Equal(ranHeader(resp), "NO")
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		f.is.NoErr(err)
		f.is.True(after > 0 && after <= 1)
	}
	got := len(target.requests())
	f.is.True(got >= 6)  // what the limit allows is used
	f.is.True(got <= 17) // 1.5 times the limit and 5 more
}

// An answer that no target has signed, such as a proxy's, does not end a limit.
func TestUnsignedAnswerDoesNotEndARateLimit(t *testing.T) {
	var count atomic.Int32
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
		if count.Add(1) == 1 {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nT-Limit: 5\r\nContent-Length: 1\r\n\r\nx")
			return
		}
		s.write("HTTP/1.1 502 X\r\nT-Id: %ID\r\nContent-Length: 0\r\n\r\n")
	})
	f := newFixture(t, target)
	f.client().call("POST", "/once/")
	f.await(func() bool {
		f.client().call("POST", "/once/")
		return count.Load() == 2
	})
	f.is.True(!f.logs.contains(`"event":"target_limited"`, `"per_second":null`))
}

// Guards against predictions by the figures of others: only the signed answer of the target itself to
// this request, with four figures that can be true, says at which pace the target works.
func TestOnlyTheTargetsOwnAnswerStatesItsPace(t *testing.T) {
	const signed = "T-Signed: yes\r\nT-Load: %LOAD\r\nContent-Length: 1\r\n\r\nx"
	for name, c := range map[string]struct {
		answer, load string
		counts       bool
	}{
		"answer":        {"HTTP/1.1 200 X\r\nT-Id: %ID\r\n" + signed, "1,0,4,250", true},
		"three figures": {"HTTP/1.1 200 X\r\nT-Id: %ID\r\n" + signed, "1,0,4", false},
		"absurd":        {"HTTP/1.1 200 X\r\nT-Id: %ID\r\n" + signed, "1,0,0,250", false},
		"other request": {"HTTP/1.1 200 X\r\nT-Id: other\r\n" + signed, "1,0,4,250", false},
		"misdirected":   {"HTTP/1.1 421 X\r\nT-Id: %ID\r\n" + signed, "1,0,4,250", false},
		"unsigned":      {"HTTP/1.1 502 X\r\nT-Id: %ID\r\nT-Load: %LOAD\r\nContent-Length: 0\r\n\r\n", "1,0,4,250", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
				s.write(strings.ReplaceAll(c.answer, "%LOAD", c.load))
			}))
			f.client().call("POST", "/idempotent/")
			f.client().call("POST", "/idempotent/")
			f.await(func() bool { return f.logs.contains(`"event":"target_chosen"`) })
			f.is.Equal(f.logs.contains(`"event":"target_chosen"`, `"pace":`), c.counts)
			f.is.Equal(f.logs.contains(`"event":"target_load_unreadable"`, `"target":"t1"`), name == "absurd")
		})
	}
}
