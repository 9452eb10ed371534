package coldstart_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/coldstart"
	"github.com/chiveseam/chiveseam/ratelimit"
)

var limits = coldstart.Limits{PerSecond: 6.1, Most: 14.15, Start: 3 * time.Second}

// at returns the time some milliseconds after a fixed one.
func at(ms int64) time.Time { return time.UnixMilli(1_700_000_000_000 + ms) }

// Guards against a target that counts as warm by a registration that is older than what made it cold,
// and against permits of the time before it turned cold.
func TestRegistrationsAfterAnEvent(t *testing.T) {
	is := is.New(t)
	target := coldstart.Target{}
	target.Mark(at(0), at(0), limits.MarkTime())
	target.Registered(at(1900), 0)
	is.True(target.Cold(at(2900)))
	target.Registered(at(1950), 5*time.Second) // what it says prolongs the cold time at once
	is.True(target.Cold(at(6900)))
	target.Registered(at(2000), 0)
	is.True(!target.Cold(at(2000)))
	is.True(target.Registered(at(3200), 3*time.Second)) // cold again without a restart
	is.True(target.Wait(at(3200), ratelimit.Whole(), at(0), limits) > 0)
	is.Equal(target.Wait(at(3600), ratelimit.Whole(), at(0), limits), time.Duration(0))
	is.Equal(target.Wait(at(4200), ratelimit.Whole(), at(0), coldstart.Limits{PerSecond: 0.5, Most: 0.5}), 2*time.Second)
	is.True(target.Cold(at(6100)) && !target.Cold(at(6200)))
}

// Guards against a target that counts as warm while its process starts: it is cold from when it is reached
// again, which requests that were sent before it crashed do not show.
func TestTargetThatRefusesConnections(t *testing.T) {
	is := is.New(t)
	target := coldstart.Target{}
	is.True(target.Refused(at(0)))
	is.True(!target.Refused(at(9000)))
	is.True(!target.Reached(at(10_000), at(8000), limits))
	is.True(target.Reached(at(10_100), at(10_000), limits))
	is.True(target.Cold(at(13_000)) && !target.Cold(at(13_100)))
	target.Refused(at(20_000))
	target.Registered(at(22_000), 0) // it runs, and is warm
	is.True(!target.Cold(at(22_000)))
}
