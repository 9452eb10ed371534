package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// loadDeployment returns the deployment of an example questionnaire.
func loadDeployment(t *testing.T) *Deployment {
	t.Helper()
	d, err := LoadDeployment("../../examples/siam-broadsheet.yaml")
	is.New(t).NoErr(err)
	return d
}

// TestGapIsWithinBound guards against delivered service outside the bound of package
// fairshare, without a fault and through each of them. A FIFO must exceed the bound, which
// shows that the workload is able to.
func TestGapIsWithinBound(t *testing.T) {
	is := is.New(t)
	d := loadDeployment(t)
	o := Options{Seeds: 1, Duration: faultTime + 40*time.Second, Latency: time.Millisecond}
	fair := o.run(d, scenario{policy: Fair}, 1)
	is.True(fair.gaps.maxBoundRatio(fair.bound) < 1)
	is.True(fair.utilisation > 97)
	for _, f := range faults {
		r := o.run(d, scenario{policy: Fair, setUp: func(c *cluster, _ *workload) {
			c.after(faultTime, func() { f.inject(c) })
		}}, 1)
		is.True(r.gaps.maxBoundRatio(fair.bound) < 1) // the gap stays within the bound through a fault
	}
	fifo := o.run(d, scenario{policy: FIFO}, 1)
	is.True(fifo.gaps.maxBoundRatio(fair.bound) > 1)
}

// TestRunsAreDeterministic guards against results that depend on anything but the arguments,
// such as the order of a map.
func TestRunsAreDeterministic(t *testing.T) {
	is := is.New(t)
	d := loadDeployment(t)
	o := Options{Seeds: 1, Duration: 30 * time.Second, Latency: time.Millisecond}
	for _, p := range Policies {
		first, second := o.run(d, scenario{policy: p}, 3), o.run(d, scenario{policy: p}, 3)
		is.Equal(first.largeGap, second.largeGap)
		is.Equal(first.utilisation, second.utilisation)
		is.Equal(first.waits, second.waits)
	}
}

// TestGapMeter checks that the gap meter leaves out service delivered while one of the two
// workspaces is not backlogged.
func TestGapMeter(t *testing.T) {
	is := is.New(t)
	d := loadDeployment(t)
	g := newGapMeter(d)
	served := make([]float64, len(d.Workspaces))
	waiting := make([]int, len(d.Workspaces))
	waiting[0], waiting[1] = 1, 1
	g.observe(served, waiting)
	served[0] += 400
	g.observe(served, waiting)
	is.Equal(g.worst[1][0], 400/g.shares[0])
	waiting[1] = 0
	served[0] += 4000
	g.observe(served, waiting)
	waiting[1] = 1
	g.observe(served, waiting)
	served[1] += 100
	g.observe(served, waiting)
	is.Equal(g.worst[1][0], 400/g.shares[0])
}

// TestSplitKeepsAllSlots checks that the equal split gives each slot to one router, also
// those that remain after the division.
func TestSplitKeepsAllSlots(t *testing.T) {
	is := is.New(t)
	d := loadDeployment(t)
	c := newCluster(d, scenario{policy: Split}, 1, 0)
	sum := 0
	for i := range routerCount {
		for _, target := range c.splitTargets(i) {
			sum += target.Slots
		}
	}
	is.Equal(sum, d.slots())
}
