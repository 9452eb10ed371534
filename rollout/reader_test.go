package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/rollout"
)

const platformLimit = 2000 // calls per second of all readers together

// readers simulates the readers of one value at all routers. ends holds the time at which the
// read in progress of each reader ends, zero if there is none.
type readers struct {
	all  []*rollout.Reader
	ends []time.Time
}

// newReaders returns readers for perZone routers in each availability zone.
func newReaders(value string, zones, perZone int, seed uint64) *readers {
	rs := &readers{}
	for z := range zones {
		var zone []string
		for i := range perZone {
			zone = append(zone, fmt.Sprintf("router-%d-%d", z, i))
		}
		for i, name := range zone {
			rng := rand.New(rand.NewPCG(seed, uint64(z*perZone+i)))
			r := rollout.NewReader(rollout.DefaultReaderOptions(), value, name, fmt.Sprint("zone-", z), rng, epoch)
			r.SetPeers(epoch, zone)
			rs.all = append(rs.all, r)
			rs.ends = append(rs.ends, time.Time{})
		}
	}
	return rs
}

// step ends the reads that are due and returns the number of reads that start. While the
// platform is down, each read fails after 100 ms.
func (rs *readers) step(now time.Time, up bool) int {
	calls := 0
	for i, r := range rs.all {
		if !rs.ends[i].IsZero() && !now.Before(rs.ends[i]) {
			r.Done(now, up)
			rs.ends[i] = time.Time{}
		}
		if wait, due := r.Next(now); due {
			calls++
			if !up {
				wait = 0
			}
			rs.ends[i] = now.Add(max(wait, step))
		}
	}
	return calls
}

// TestPlatformCallRateAtFullSize measures the rate of platform calls for 30, 110 and 330
// routers, with the platform up and down, and checks that the peak stays below the platform's
// limit.
func TestPlatformCallRateAtFullSize(t *testing.T) {
	const seconds = 600
	for _, up := range []bool{true, false} {
		for _, perZone := range []int{3, 11, 33} {
			is := is.New(t)
			values := []*readers{newReaders("configuration", 10, perZone, 1), newReaders("instances", 10, perZone, 2)}
			total, peak := 0, 0
			for s := range seconds {
				calls := 0
				for i := range int(time.Second / step) {
					now := epoch.Add(time.Duration(s)*time.Second + time.Duration(i)*step)
					calls += values[0].step(now, up) + values[1].step(now, up)
				}
				total += calls
				peak = max(peak, calls)
			}
			t.Logf("%3d routers, platform up %v: %.1f calls/s, peak %d", 10*perZone, up, float64(total)/seconds, peak)
			is.True(peak < platformLimit)
		}
	}
}

// TestWatchersPerZone checks that exactly as many routers of one availability zone watch the
// platform as the options say.
func TestWatchersPerZone(t *testing.T) {
	is := is.New(t)
	rs := newReaders("configuration", 1, 33, 1)
	watchers := 0
	for _, r := range rs.all {
		if r.Watcher() {
			watchers++
		}
	}
	is.Equal(watchers, rollout.DefaultReaderOptions().Watchers)
}
