package orders

// maxFailedEngines is the number of engines on which the load of a version may
// fail before it is kept from other engines that serve.
const maxFailedEngines = 2

const percent = 100

type poolKey struct{ pool, region string }

func (e *Engine) poolKey() poolKey { return poolKey{pool: e.Pool, region: e.Region} }

// rolling bounds the slots that reloads make unavailable in each pool of a
// region.
type rolling struct {
	percent int
	pools   map[poolKey]*poolProgress
}

type poolProgress struct {
	slots     uint32
	reloading uint32
	// running holds the versions that engines report, and failed the number
	// of engines on which each version failed last.
	running map[string]bool
	failed  map[string]int
}

func (s *Sender) newRolling(index int) *rolling {
	r := &rolling{percent: s.opts.MaxUnavailablePercent, pools: map[poolKey]*poolProgress{}}
	for i := range s.plan.Engines {
		desired := &s.plan.Engines[i]
		if desired.Shard == index {
			r.count(s.engines[desired.Name])
		}
	}
	return r
}

func (r *rolling) count(e *engine) {
	p := r.pool(e)
	p.slots += e.desired.Slots
	if e.order != nil && e.order.reloads {
		p.reloading += e.desired.Slots
	}
	if e.serving() {
		p.running[e.report.Version] = true
	}
	if e.failedVersion != "" {
		p.failed[e.failedVersion]++
	}
}

func (r *rolling) pool(e *engine) *poolProgress {
	key := e.desired.poolKey()
	p, ok := r.pools[key]
	if !ok {
		p = &poolProgress{running: map[string]bool{}, failed: map[string]int{}}
		r.pools[key] = p
	}
	return p
}

// permits reports whether a serving engine may become unavailable. Until one
// engine of the pool runs a version, only one at a time tries it.
func (r *rolling) permits(c candidate) bool {
	p := r.pool(c.engine)
	if p.heldBack(c.engine, c.order) {
		return false
	}
	if p.reloading == 0 {
		return true
	}
	if c.order.Kind == LoadModel && !p.running[c.order.Version] {
		return false
	}
	unavailable := p.reloading + c.engine.desired.Slots
	return uint64(unavailable)*percent <= uint64(p.slots)*uint64(r.percent)
}

// heldBack reports whether the order loads a version that failed on other
// engines and runs on none.
func (p *poolProgress) heldBack(e *engine, order Order) bool {
	return order.Kind == LoadModel &&
		!p.running[order.Version] &&
		p.failed[order.Version] >= maxFailedEngines &&
		e.failedVersion != order.Version
}

func (r *rolling) add(e *engine) {
	r.pool(e).reloading += e.desired.Slots
}
