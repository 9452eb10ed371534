package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShardsThroughFaults checks that a pool in shards stays within the bound of
// one scheduler and sends nothing to a full target, through the loss of a holder
// and of the dealer, and that a run depends on its seed only.
func TestShardsThroughFaults(t *testing.T) {
	is := is.New(t)
	d := deployment(t)
	o := Options{Seeds: 1, Duration: faultAt + 40*time.Second, Latency: time.Millisecond}
	bound := o.run(d, scenario{policy: Fair}, 1).bound
	for _, f := range shardFaults {
		s := scenario{policy: Fair, shards: 3, prepare: func(c *cluster, _ *workload) {
			c.after(faultAt, func() { f.inject(c.hosts[0].core.(*sharded)) })
		}}
		r := o.run(d, s, 1)
		is.True(r.gaps.ofBound(bound) < 1)
		is.True(r.utilisation > 97)
		is.Equal(r.over, 0) // sent to a full target
		is.Equal(r.deal, o.run(d, s, 1).deal)
	}
}
