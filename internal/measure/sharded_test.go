package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShardsThroughFaults checks a pool in shards through the loss of a holder, of the dealer
// and of both: it stays within the bound of one scheduler and sends nothing to a full target.
// A run depends on its arguments only.
func TestShardsThroughFaults(t *testing.T) {
	is := is.New(t)
	d := loadDeployment(t)
	o := Options{Seeds: 1, Duration: faultTime + 40*time.Second, Latency: time.Millisecond}
	bound := o.run(d, scenario{policy: Fair}, 1).bound
	for _, f := range shardFaults {
		s := scenario{policy: Fair, shards: 3, setUp: func(c *cluster, _ *workload) {
			c.after(faultTime, func() { f.inject(c.hosts[0].scheduler.(*shardedScheduler)) })
		}}
		r := o.run(d, s, 1)
		is.True(r.gaps.maxBoundRatio(bound) < 1)
		is.True(r.utilisation > 97)
		is.Equal(r.overAdmitted, 0) // no request is sent to a full target
		is.Equal(r.dealTraffic, o.run(d, s, 1).dealTraffic)
	}
}
