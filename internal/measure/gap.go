package measure

// gapMeter finds, for each pair of workspaces, the largest service gap over
// any interval throughout which both are backlogged.
type gapMeter struct {
	shares []float64
	// sameDataCentre is set for pairs that may use the same slots.
	sameDataCentre [][]bool
	intervals      [][]backlogInterval
	// worst holds the largest gap of each pair in cost units at share 1.
	worst [][]float64
}

// backlogInterval is the range of the difference of services while both of a pair are
// backlogged.
type backlogInterval struct {
	open      bool
	low, high float64
}

func newGapMeter(d *Deployment) *gapMeter {
	n := len(d.Workspaces)
	g := &gapMeter{}
	for i, w := range d.Workspaces {
		g.shares = append(g.shares, float64(w.Share))
		g.sameDataCentre = append(g.sameDataCentre, make([]bool, n))
		g.intervals = append(g.intervals, make([]backlogInterval, n))
		g.worst = append(g.worst, make([]float64, n))
		for j, other := range d.Workspaces {
			g.sameDataCentre[i][j] = w.DataCentre == other.DataCentre
		}
	}
	return g
}

// observe takes in the services delivered to backlogged workspaces.
func (g *gapMeter) observe(served []float64, waiting []int) {
	for i := range served {
		for j := range i {
			if g.sameDataCentre[i][j] {
				g.observePair(i, j, served, waiting[i] > 0 && waiting[j] > 0)
			}
		}
	}
}

func (g *gapMeter) observePair(i, j int, served []float64, bothBacklogged bool) {
	e := &g.intervals[i][j]
	if !bothBacklogged {
		e.open = false
		return
	}
	difference := served[i]/g.shares[i] - served[j]/g.shares[j]
	if !e.open {
		*e = backlogInterval{open: true, low: difference, high: difference}
		return
	}
	e.low = min(e.low, difference)
	e.high = max(e.high, difference)
	g.worst[i][j] = max(g.worst[i][j], e.high-e.low)
}

// maxGapSeconds returns the largest gap between the first n workspaces as the time
// in which the whole capacity serves it to the one with the larger share.
func (g *gapMeter) maxGapSeconds(n int, capacity float64) float64 {
	worst := 0.0
	for i := range n {
		for j, gap := range g.worst[i] {
			worst = max(worst, gap*max(g.shares[i], g.shares[j])/capacity)
		}
	}
	return worst
}

// maxBoundRatio returns the largest gap as a part of the bound of its pair.
func (g *gapMeter) maxBoundRatio(bound func(i, j int) float64) float64 {
	worst := 0.0
	for i := range g.worst {
		for j, gap := range g.worst[i] {
			if b := bound(i, j); gap > 0 && b > 0 {
				worst = max(worst, gap/b)
			}
		}
	}
	return worst
}

// chargeMeter follows the charges of one scheduler with the same counters, to
// find the terms of the bound of package fairshare.
type chargeMeter struct {
	cluster *cluster
	ledger  chargeLedger
	terms   []boundTerms
}

// boundTerms are the terms of one workspace: the most slots held, and the
// largest charge at the grant, upward and downward correction, delivered cost
// that is not charged, and charged cost that is not delivered.
type boundTerms struct {
	heldSlots, maxSlots                                   int
	estimate, upward, downward, undercharged, overcharged int64
}

// bound is the bound on the gap of two workspaces in cost units at share 1.
func (m *chargeMeter) bound(i, j int) float64 {
	f, g := m.terms[i], m.terms[j]
	wf, wg := m.share(i), m.share(j)
	return drift(f, g, wf, wg) + drift(g, f, wg, wf) + f.outstanding()/wf + g.outstanding()/wg
}

func (m *chargeMeter) share(i int) float64 {
	return float64(m.cluster.deployment.Workspaces[i].Share)
}

// drift bounds the counter of f above that of g.
func drift(f, g boundTerms, wf, wg float64) float64 {
	up := float64(f.estimate) + float64(f.maxSlots)*float64(f.upward)
	down := float64(g.maxSlots) * float64(g.downward)
	return up/wf + down/wg
}

func (t boundTerms) outstanding() float64 {
	return float64(t.maxSlots) * float64(t.overcharged+t.undercharged)
}

// boundOver returns the bound with the largest terms of several schedulers.
func boundOver(hosts []*host) func(i, j int) float64 {
	merged := newChargeMeter(hosts[0].cluster)
	for _, h := range hosts {
		for i, t := range h.charges.terms {
			merged.terms[i] = merged.terms[i].max(t)
		}
	}
	return merged.bound
}

func (t boundTerms) max(o boundTerms) boundTerms {
	return boundTerms{
		maxSlots:     max(t.maxSlots, o.maxSlots),
		estimate:     max(t.estimate, o.estimate),
		upward:       max(t.upward, o.upward),
		downward:     max(t.downward, o.downward),
		undercharged: max(t.undercharged, o.undercharged),
		overcharged:  max(t.overcharged, o.overcharged),
	}
}
