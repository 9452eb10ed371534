package linkbudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Load of the tests: requests of 4.5 kB with answers of 2.5 kB on a link of 10 Mbit/s, which carries
// about 180 of them in a second.
const (
	testMbps      = 10
	testRequest   = 4500
	testAnswer    = 2500
	testRequested = 10 * time.Second
)

var testForward = Bytes{In: testAnswer, Out: testRequest + testAnswer}

// play offers a number of requests of each workspace per second, evenly spread, and returns how many
// of them are admitted and the longest queue of outgoing bytes, as time of the whole link.
func play(b *Budget, perSecond map[string]int) (admitted map[string]int, longestQueue time.Duration) {
	admitted = make(map[string]int)
	sent, rate := 0.0, testMbps*1e6/8.0
	for step := range int(testRequested / time.Millisecond) {
		now := start.Add(time.Duration(step) * time.Millisecond)
		sent = max(sent-rate/1000, 0)
		for name, n := range perSecond {
			if (step*n)/1000 == ((step+1)*n)/1000 {
				continue
			}
			b.AddRequest(now, name, testRequest)
			if _, ok := b.Admit(now, name, testForward); ok {
				admitted[name]++
				sent += testForward.Out
			}
		}
		longestQueue = max(longestQueue, time.Duration(sent/rate*float64(time.Second)))
	}
	return admitted, longestQueue
}

// Pattern: the callers of one workspace press one instance with more than its link carries. What is
// admitted must leave within the time that callers still accept.
func TestQueueOfAFullLinkStaysShort(t *testing.T) {
	is := is.New(t)
	admitted, queue := play(New(testMbps), map[string]int{"hot": 400})
	is.True(queue <= 2*maxWait)
	is.True(admitted["hot"] > 0)
}

// Pattern: beside a workspace that presses the link, another one sends few requests. They are served.
func TestQuietWorkspaceIsServedOnAFullLink(t *testing.T) {
	is := is.New(t)
	admitted, _ := play(New(testMbps), map[string]int{"hot": 200, "quiet": 10})
	offered := 10 * int(testRequested/time.Second)
	is.True(admitted["quiet"] >= offered*9/10)
	is.True(admitted["hot"] < 200*int(testRequested/time.Second))
}

// Requests that fit the link are all admitted, and do not make the instance busy.
func TestLoadBelowTheLinkIsAdmitted(t *testing.T) {
	is := is.New(t)
	b := New(testMbps)
	admitted, _ := play(b, map[string]int{"a": 30, "b": 30})
	is.Equal(admitted["a"]+admitted["b"], 60*int(testRequested/time.Second))
	is.True(!b.Busy(start.Add(testRequested)))
}

// A pressed instance is busy, and no longer once it is calm for calmTime.
func TestBusyUntilTheLinkIsCalm(t *testing.T) {
	is := is.New(t)
	b := New(testMbps)
	play(b, map[string]int{"hot": 400})
	end := start.Add(testRequested)
	is.True(b.Busy(end))
	is.True(b.Busy(end.Add(calmTime)))
	is.True(!b.Busy(end.Add(calmTime + 2*loadWindow)))
}

func TestUnknownRateAdmitsAll(t *testing.T) {
	is := is.New(t)
	b := New(0)
	b.AddRequest(start, "a", 1e12)
	b.Expect(start, "a", Bytes{1e12, 1e12})
	wait, ok := b.Admit(start, "a", Bytes{1e12, 1e12})
	is.True(ok)
	is.Equal(wait, time.Duration(0))
	is.True(!b.Busy(start))
}

// Whatever is added and corrected: a refusal names a time after which there is room if nothing else
// comes, and a link without requests is free again.
func TestRefusalNamesTheTimeOfRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(rapid.Float64Range(0.1, 1000).Draw(t, "mbps"))
		now := start
		bytes := rapid.Float64Range(0, 1e6)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				b.AddRequest(now, name, bytes.Draw(t, "request"))
			case 1:
				b.Expect(now, name, Bytes{bytes.Draw(t, "in") - 5e5, bytes.Draw(t, "out") - 5e5})
			case 2:
				wait, ok := b.Admit(now, name, Bytes{bytes.Draw(t, "in"), bytes.Draw(t, "out")})
				if ok == (wait > 0) {
					t.Fatalf("admitted %v with a wait of %v", ok, wait)
				}
			}
			if b.Wait(now) < 0 || b.Load() < 0 {
				t.Fatalf("wait %v, load %v", b.Wait(now), b.Load())
			}
		}
		now = now.Add(b.Wait(now) + 20*loadWindow)
		if _, ok := b.Admit(now, "a", Bytes{}); !ok || b.Busy(now) {
			t.Fatal("a free link refuses")
		}
	})
}
