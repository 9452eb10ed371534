package targetload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Guards against figures that are taken for what they are not: too few, absurd, or of two targets.
func TestParse(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]Figures{
		"3,0,6":           {Running: 3, Slots: 6},
		" 3 , 12,32, 250": {3, 12, 32, 2.5},
		"0,0,1,100,7,x":   {Slots: 1, Pace: 1},
	} {
		f, ok, err := Parse([]string{text})
		is.NoErr(err)
		is.True(ok)
		is.Equal(f, want)
	}
	for _, text := range []string{
		"", "3", "3,1", "-1,0,6", "0,-1,6", "0,0,0", "10001,0,6", "0,0,10001", "a,0,6", "1.5,0,6", "NaN,0,6",
		"1,0,6,", "1,0,6,0", "1,0,6,-100", "1,0,6,10001", "1,0,6,NaN", "1,0,6,Inf", "1,0,6,x", "99999999999999999999,0,6",
	} {
		_, ok, err := Parse([]string{text})
		is.True(err != nil && !ok)
	}
	_, ok, err := Parse(nil)
	is.True(err == nil && !ok)
	_, ok, err = Parse([]string{"3,0,6,100", "3,0,6,250"})
	is.True(err != nil && !ok)
}

// Whatever a field holds, the figures are in their bounds, or there is an error.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"1,2,3", "1,2,3,250", "0x1,1,1", "1,1,1,1e2", ",,,", "1,1,1,+Inf"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		l, ok, err := Parse([]string{text})
		if ok != (err == nil) {
			t.Fatalf("%q: %v, %v", text, ok, err)
		}
		if ok && (l.Running < 0 || l.Waiting < 0 || l.Slots < 1 || max(l.Running, l.Waiting, l.Slots) > maxCount || !(l.Pace >= 0 && l.Pace <= 100)) {
			t.Fatalf("%q: %+v", text, l)
		}
	})
}

// Guards against bytes for what the others know: a pace is told once, again after it has decayed, and
// the usual pace only after another one.
func TestOnlyMaterialPacesAreDue(t *testing.T) {
	is := is.New(t)
	const interval = 140 * time.Millisecond
	var l Load
	due := func(at int, pace float64) bool {
		now := start.Add(ms(at))
		l.Observe(now, Figures{Pace: pace})
		told, _, distance := l.Due(now.Add(ms(20)), interval)
		if distance == 0 {
			return false
		}
		is.Equal(told, pace)
		l.MarkTold()
		return true
	}
	is.True(!due(0, 1) && due(100, 2.5) && !due(200, 2.5) && due(600, 2.5) && due(700, 1) && !due(800, 1))
	l.Observe(start.Add(ms(900)), Figures{Pace: 5})
	_, _, distance := l.Due(start.Add(ms(900)).Add(interval), interval)
	is.Equal(distance, 0.0) // older than a report interval
	l.Hear(start.Add(ms(910)), start.Add(ms(905)), 2.4)
	_, _, distance = l.Due(start.Add(ms(910)), interval)
	is.Equal(distance, 0.0) // another router has told a newer one
}

// Whatever is stated and reported, in any order and of any age, the believed pace stays in its bounds,
// and nothing of it is left after maxAge.
func TestBelievedPaceStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Load
		now := start
		pace := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 100), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1, 0}))
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now = now.Add(ms(rapid.IntRange(0, 500).Draw(t, "pause")))
			at := now.Add(-ms(rapid.IntRange(-1000, 5000).Draw(t, "age")))
			if rapid.Bool().Draw(t, "own") {
				l.Observe(now, Figures{Running: 1, Slots: 1, Pace: pace.Draw(t, "pace")})
			} else {
				l.Hear(now, at, pace.Draw(t, "pace"))
			}
			p := l.Pace(now, ms(rapid.IntRange(0, 100_000).Draw(t, "work")))
			told, age, distance := l.Due(now, ms(140))
			if !(p >= minPace && p <= maxPace) || distance != 0 && (age >= ms(140) || !validPace(told) || math.IsNaN(distance)) {
				t.Fatalf("pace %v; told %v of age %v, distance %v", p, told, age, distance)
			}
		}
		if p := l.Pace(now.Add(maxAge+ms(1001)), 0); p != ExpectedPace {
			t.Fatalf("pace %v after its end", p)
		}
	})
}
