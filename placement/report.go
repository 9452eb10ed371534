package placement

import (
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// usageReports is the number of successive reports that state the totals of a workspace
	// after they have changed. It is more than one since datagrams are lost now and then.
	usageReports = 2
	// fullReportInterval is the number of reports within which the load of each target in
	// use is stated at least once, also if it did not change. This corrects the view of
	// routers that missed a report.
	fullReportInterval = 10
	// partReportInterval is the time after which another use of a cached part is reported:
	// routers must agree on which parts an engine has used least recently.
	partReportInterval = 2 * time.Second
	// maxReportParts limits the parts in one report, so that it fits into a datagram.
	maxReportParts = 60
)

// peerState is the latest load that another router reported.
type peerState struct {
	// incarnation and sequence order the reports of the router, see v1.LoadReport.
	incarnation uint64
	sequence    uint64
	// received is when the latest report came.
	received time.Time
	// loads and usages hold the latest entry for each target and workspace, by Hash.
	loads  map[uint32]targetLoad
	usages map[uint32]workspaceUse
}

// targetLoad is a row of v1.TargetLoads, and workspaceUse one of v1.WorkspaceUses.
type targetLoad struct {
	running, unread     uint32
	observed, predicted float32
}

type workspaceUse struct{ asked, begun uint64 }

// column returns an entry of a column; 0 after its end.
func column[T any](c []T, i int) T {
	if i < len(c) {
		return c[i]
	}
	var zero T
	return zero
}

// FillReport fills a load report with this router's loads at targets, the use of workspaces and
// the cached parts that changed since earlier reports. r.Sequence must be set and grow by 1.
func (b *Balancer) FillReport(now time.Time, r *v1.LoadReport) {
	refresh := r.Sequence % fullReportInterval
	loads, uses := &v1.TargetLoads{}, &v1.WorkspaceUses{}
	r.Loads, r.Uses = loads, uses
	for _, t := range b.targets {
		if !t.reportNow(uint64(t.hash)%fullReportInterval == refresh) {
			continue
		}
		t.latencyRatio.age(now)
		loads.Target = append(loads.Target, t.hash)
		loads.Running = append(loads.Running, uint32(t.running))
		loads.Unread = append(loads.Unread, uint32(max(t.unread, 0)))
		loads.Observed = append(loads.Observed, float32(t.latencyRatio.observed))
		loads.Predicted = append(loads.Predicted, float32(t.latencyRatio.predicted))
	}
	for hash, u := range b.shares.byHash {
		if u.reportsDue == 0 {
			continue
		}
		u.reportsDue--
		uses.Workspace = append(uses.Workspace, hash)
		uses.Asked = append(uses.Asked, u.ownAsked)
		uses.Begun = append(uses.Begun, u.ownBegun)
	}
	b.reportParts(r)
	b.reportLeaving(r)
	b.reportRateLimits(now, r)
	b.reportCold(now, r)
	b.reportPaces(now, r)
	r.Demand = float32(b.fleet.reportDemand(now))
}

// reportNow reports whether the current report must state the target's load: always if it has
// changed since the last report. In every fullReportInterval-th report, for which fullReportTurn
// is set, the load is also stated if the target is in use or its last change must be stated once
// more.
func (t *target) reportNow(fullReportTurn bool) bool {
	idle := t.running == 0 && t.unread == 0
	due := t.reportDue || (fullReportTurn && (t.reportAgain || !idle))
	t.reportAgain = t.reportAgain && (t.reportDue || !fullReportTurn)
	t.reportDue = false
	return due
}

// markChanged records that the target's load has changed and must be reported.
func (t *target) markChanged() { t.reportDue, t.reportAgain = true, true }

// reportParts moves up to maxReportParts of the unreported parts into a report.
func (b *Balancer) reportParts(r *v1.LoadReport) {
	n := min(len(b.unreportedParts), maxReportParts)
	r.Parts = append(r.Parts, b.unreportedParts[:n]...)
	b.unreportedParts = b.unreportedParts[n:]
}

// maxSnapshotAge limits the cached parts that are reported to a router that starts to those
// used within this time: prompts that were not used for longer are rarely requested again.
const maxSnapshotAge = 20 * time.Second

// RecentCachedParts returns the cached parts whose last use was reported by this router, in
// groups that fit into a report, if it was within maxSnapshotAge. A router that starts gets
// them from all others, and so learns the cached parts of all targets.
func (b *Balancer) RecentCachedParts(now time.Time) [][]*v1.PartRead {
	var parts []*v1.PartRead
	for _, t := range b.targets {
		for e := t.cache.lru.Back(); e != nil; e = e.Prev() {
			if p := e.Value.(*cachedPart); p.reportedHere && now.Sub(p.reportedAt) < maxSnapshotAge {
				parts = append(parts, &v1.PartRead{Target: t.hash, Part: p.id, Tokens: uint32(p.tokens)})
			}
		}
	}
	return slices.Collect(slices.Chunk(parts, maxReportParts))
}

// AddCachedParts adds the prompt parts that a target has listed as the content of its KV cache.
// They must be sorted by their last use, the least recent first.
func (b *Balancer) AddCachedParts(now time.Time, id string, parts []Part) {
	t, ok := b.targets[id]
	if !ok {
		return
	}
	for _, p := range parts {
		if !t.cache.has(p.ID) {
			b.recordParts(now, t, []Part{p})
		}
	}
}

// MergeReport applies a report of another router to the view. From a report that is not newer than
// the latest one of the router it takes only the cached parts and the zone.
func (b *Balancer) MergeReport(now time.Time, r *v1.LoadReport) {
	b.mergeParts(now, r.Parts)
	b.mergeLeaving(now, r.LeavingTargets)
	b.mergeRateLimits(now, r.RateLimits)
	b.mergeCold(now, r.ColdTargets)
	b.fleet.recordReport(now, r.Router, float64(r.Demand), r.Sequence > 0)
	b.zones.recordReport(now, r.Zone)
	p, ok := b.peers[r.Router]
	if ok && (r.Incarnation < p.incarnation || (r.Incarnation == p.incarnation && r.Sequence <= p.sequence)) {
		return
	}
	if ok && r.Incarnation > p.incarnation {
		b.removeLoads(r.Router)
		ok = false
	}
	if !ok {
		p = &peerState{
			incarnation: r.Incarnation,
			loads:       make(map[uint32]targetLoad),
			usages:      make(map[uint32]workspaceUse),
		}
		b.peers[r.Router] = p
	}
	known := p.sequence > 0
	p.sequence = r.Sequence
	p.received = now
	b.mergeLoads(p, r.Loads)
	b.mergePaces(now, r.States)
	b.mergeUsages(now, p, r.Uses, known)
}

// mergeLoads replaces a router's loads at the targets that its report names.
func (b *Balancer) mergeLoads(p *peerState, loads *v1.TargetLoads) {
	for i, target := range loads.GetTarget() {
		load := targetLoad{
			running: column(loads.Running, i), unread: column(loads.Unread, i),
			observed: column(loads.Observed, i), predicted: column(loads.Predicted, i),
		}
		r := b.remoteLoad(target)
		r.add(p.loads[target], -1)
		r.add(load, 1)
		p.loads[target] = load
	}
}

// add adds a load (sign 1), or subtracts it (sign -1).
func (r *remoteLoad) add(load targetLoad, sign int) {
	r.running += sign * int(load.running)
	r.unread += sign * int(load.unread)
	r.observed += float64(sign) * float64(load.observed)
	r.predicted += float64(sign) * float64(load.predicted)
}

// mergeUsages adds the growth of a router's totals since its last report to the shares. The
// totals in the first report of a router are not added: they may be older than the window.
func (b *Balancer) mergeUsages(now time.Time, p *peerState, uses *v1.WorkspaceUses, known bool) {
	for i, workspace := range uses.GetWorkspace() {
		old := p.usages[workspace]
		use := workspaceUse{column(uses.Asked, i), column(uses.Begun, i)}
		p.usages[workspace] = use
		if known {
			b.shares.add(now, workspace, float64(use.asked-old.asked), float64(int64(use.begun-old.begun)))
		}
	}
}

// mergeParts records the cached parts that another router reported.
func (b *Balancer) mergeParts(now time.Time, parts []*v1.PartRead) {
	for _, part := range parts {
		if t, ok := b.byHash[part.Target]; ok {
			cached := t.cache.use(now, Part{ID: part.Part, Tokens: int(part.Tokens)})
			cached.reportedAt, cached.reportedHere = now, false
		}
	}
}

// RemoveRouter removes another router that has stopped, and its loads, from the view.
func (b *Balancer) RemoveRouter(router string) {
	b.fleet.remove(router)
	b.removeLoads(router)
}

// removeLoads removes the loads of another router from the view.
func (b *Balancer) removeLoads(router string) {
	p, ok := b.peers[router]
	if !ok {
		return
	}
	for target, load := range p.loads {
		b.remoteLoad(target).add(load, -1)
	}
	delete(b.peers, router)
}

// RemoveSilentRouters removes the routers that have not reported for longer than
// Options.PeerTimeout and returns their names.
func (b *Balancer) RemoveSilentRouters(now time.Time) []string {
	var gone []string
	for name, p := range b.peers {
		if now.Sub(p.received) > b.options.PeerTimeout {
			gone = append(gone, name)
		}
	}
	for _, name := range gone {
		b.removeLoads(name)
	}
	b.fleet.forgetSilent(now)
	return gone
}
