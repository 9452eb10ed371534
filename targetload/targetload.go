// Package targetload judges the loads that targets state in their answers: how much is believed of
// the pace of a target's machine, and what the other routers are told.
//
// The pace is the time that work takes on a machine in multiples of the usual time. It changes many
// times a second, so that a figure says less the older it is: the believed pace decays from the
// stated one to ExpectedPace. A router that knows nothing of a target expects ExpectedPace.
//
// One router alone gets an answer of a target every few seconds. Routers therefore tell each other
// the paces that differ from what the others believe. Since all routers decay the same figure in
// the same way, a router knows what the others believe, and a target at its usual pace needs no
// message.
//
// The package has no goroutine, clock or random source: callers pass in the current time. A Load is
// not safe for concurrent use.
package targetload

import (
	"math"
	"time"
)

const (
	// ExpectedPace is the mean pace of a target of which nothing is known: for 15% of the time work
	// takes 2.5 times as long on a machine with busy neighbours.
	ExpectedPace = 0.15*2.5 + 0.85
	// holdTime is the mean time for which a machine keeps its pace.
	holdTime = 600 * time.Millisecond
	// maxAge is the age above which a figure says nothing: less than a thirtieth of its difference to
	// ExpectedPace would be believed.
	maxAge = 2 * time.Second
	// minPace and maxPace bound what is believed, so that a mistaken figure neither draws all requests
	// to a target nor bars it for longer than holdTime after a correct one.
	minPace = 0.5
	maxPace = 10
	// materialRatio is the ratio between a pace and what the other routers believe from which they
	// are told. It is above ExpectedPace, so that a usual pace of 1 is not told unless the others
	// believe that the target is slow.
	materialRatio = 1.3
)

// observation is a pace and when the target stated it; the zero value stands for none.
type observation struct {
	pace float64
	at   time.Time
}

// Load is what a router knows of the load of one start of a target.
type Load struct {
	// newest is the newest observation of any router, and told the newest one that all routers were
	// told, by this router or another one.
	newest, told observation
	// own is set if newest is this router's own.
	own bool
	// requests is the number of requests at the target by the last answer to this router, which came
	// at requestsAt.
	requests   int
	requestsAt time.Time
}

// Observe records the figures of an answer to this router that came at a time. Figures without a
// pace, and those older than the newest known ones, are ignored.
func (l *Load) Observe(at time.Time, f Figures) {
	if validPace(f.Pace) && at.After(l.newest.at) {
		l.newest, l.own = observation{f.Pace, at}, true
		l.requests, l.requestsAt = f.Running+f.Waiting, at
	}
}

// Requests returns the number of requests running and waiting at the target by the last answer to
// this router. It returns false if there is none that is younger than an age.
func (l *Load) Requests(now time.Time, age time.Duration) (int, bool) {
	return l.requests, now.Sub(l.requestsAt) < age
}

// Hear records a pace that another router reports, which the target stated at a time. It returns
// false if the pace is absurd, or too old to say anything at now.
func (l *Load) Hear(now, at time.Time, pace float64) bool {
	if !validPace(pace) || now.Sub(at) > maxAge {
		return false
	}
	heard := observation{pace, at}
	if at.After(l.told.at) {
		l.told = heard
	}
	if at.After(l.newest.at) {
		l.newest, l.own = heard, false
	}
	return true
}

// validPace reports whether a pace is one that Parse returns.
func validPace(pace float64) bool { return pace > 0 && pace <= maxPacePercent/100 }

// Pace returns the mean pace that is believed for work that takes a time and begins or ends at now:
// the pace before an observation is as uncertain as the pace after it.
func (l *Load) Pace(now time.Time, work time.Duration) float64 { return l.newest.believed(now, work) }

// believed returns the expected mean of the pace over the time of work that begins or ends at now.
func (o observation) believed(now time.Time, work time.Duration) float64 {
	age := max(now.Sub(o.at), 0)
	if o.pace == 0 || age > maxAge {
		return ExpectedPace
	}
	weight := math.Exp(-float64(age) / float64(holdTime))
	if x := float64(work) / float64(holdTime); x > 0.01 {
		weight *= (1 - math.Exp(-x)) / x
	}
	pace := min(max(o.pace, minPace), maxPace)
	return ExpectedPace + weight*(pace-ExpectedPace)
}

// Due returns the pace that the other routers should be told, the age of its observation, and how
// far what they believe is from it; 0 if they need not be told. Only observations of this router
// that are younger than interval, the time between two of its reports, are told.
func (l *Load) Due(now time.Time, interval time.Duration) (pace float64, age time.Duration, distance float64) {
	age = max(now.Sub(l.newest.at), 0)
	if !l.own || age >= interval || !l.newest.at.After(l.told.at) {
		return 0, 0, 0
	}
	distance = math.Abs(math.Log(l.newest.believed(now, 0) / l.told.believed(now, 0)))
	if distance < math.Log(materialRatio) {
		return 0, 0, 0
	}
	return l.newest.pace, age, distance
}

// MarkTold records that the other routers are told the newest observation.
func (l *Load) MarkTold() { l.told = l.newest }
