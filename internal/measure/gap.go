package measure

// gapMeter finds, for each pair of workspaces, the largest difference in service by share
// over any interval throughout which both are backlogged.
type gapMeter struct {
	shares []float64
	// sameDataCentre is set for pairs of workspaces that may use the same slots. Only
	// these are compared.
	sameDataCentre [][]bool
	// intervals holds the current interval of each pair. In the matrices only the
	// elements whose first index is the larger one are used.
	intervals [][]backlogInterval
	// worst holds the largest gap of each pair in cost units at share 1.
	worst [][]float64
}

// backlogInterval is the interval since which both workspaces of a pair are backlogged, with
// the range of the difference of their services divided by share.
type backlogInterval struct {
	// open is set while both workspaces are backlogged.
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

// observe takes the cost units delivered to each workspace so far and the numbers of its
// waiting requests.
func (g *gapMeter) observe(served []float64, waiting []int) {
	for i := range served {
		for j := range i {
			if g.sameDataCentre[i][j] {
				g.observePair(i, j, served, waiting[i] > 0 && waiting[j] > 0)
			}
		}
	}
}

// observePair extends or ends the interval of a pair.
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

// maxGapSeconds returns the largest gap between the first n workspaces. It is given as the
// time, in seconds, in which the whole capacity (in cost units a second) serves the gap to
// the workspace of the pair with the larger share.
func (g *gapMeter) maxGapSeconds(n int, capacity float64) float64 {
	worst := 0.0
	for i := range n {
		for j, gap := range g.worst[i] {
			worst = max(worst, gap*max(g.shares[i], g.shares[j])/capacity)
		}
	}
	return worst
}

// maxBoundRatio returns the largest ratio of a pair's gap to the pair's bound.
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

// chargeMeter repeats the charges of one scheduler with the same kind of counters, to find
// the terms of the bound that the documentation of package fairshare gives.
type chargeMeter struct {
	cluster *cluster
	ledger  chargeLedger
	terms   []boundTerms
}

// boundTerms are the terms of one workspace in the bound of package fairshare, with the
// letters used there. All but the slots are the largest values of one request, in cost units.
type boundTerms struct {
	// heldSlots is the number of slots held at present, maxSlots (M) its maximum. estimate
	// (E) is the charge at the grant, upward (P) and downward (R) are corrections of the
	// charge, undercharged (X) is delivered cost that is not charged, overcharged (Y)
	// charged cost that is not delivered.
	heldSlots, maxSlots                                   int
	estimate, upward, downward, undercharged, overcharged int64
}

// bound returns the bound on the gap between two workspaces in cost units at share 1.
func (m *chargeMeter) bound(i, j int) float64 {
	f, g := m.terms[i], m.terms[j]
	wf, wg := m.share(i), m.share(j)
	return drift(f, g, wf, wg) + drift(g, f, wg, wf) + f.outstanding()/wf + g.outstanding()/wg
}

// share returns the share of a workspace.
func (m *chargeMeter) share(i int) float64 {
	return float64(m.cluster.deployment.Workspaces[i].Share)
}

// drift returns D(f,g) of package fairshare, the bound of f's counter minus g's. wf and wg
// are the shares of the two workspaces.
func drift(f, g boundTerms, wf, wg float64) float64 {
	up := float64(f.estimate) + float64(f.maxSlots)*float64(f.upward)
	down := float64(g.maxSlots) * float64(g.downward)
	return up/wf + down/wg
}

// outstanding bounds the difference between charged and delivered cost of the workspace's
// requests in flight.
func (t boundTerms) outstanding() float64 {
	return float64(t.maxSlots) * float64(t.overcharged+t.undercharged)
}

// boundOver returns the bound with the largest terms that any of the schedulers has.
func boundOver(hosts []*host) func(i, j int) float64 {
	merged := newChargeMeter(hosts[0].cluster)
	for _, h := range hosts {
		for i, t := range h.charges.terms {
			merged.terms[i] = merged.terms[i].max(t)
		}
	}
	return merged.bound
}

// max returns the larger value of each term, without the slots held at present.
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
