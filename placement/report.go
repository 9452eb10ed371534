package placement

import (
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// useRepeats is the number of reports that tell a workspace's use, since datagrams
	// are lost now and then.
	useRepeats = 2
	// refreshReports is the number of reports within which all loads are told once
	// more: that repairs what was lost.
	refreshReports = 10
	// tellUses is the time after which another use of a kept part is told: routers
	// must agree on what an engine has used least lately.
	tellUses = 2 * time.Second
	// maxParts bounds the parts in one report, so that it fits a datagram.
	maxParts = 60
)

// peerState is what another router told last.
type peerState struct {
	incarnation uint64
	sequence    uint64
	received    time.Time
	loads       map[uint32]*v1.TargetLoad
	uses        map[uint32]*v1.WorkspaceUse
}

// Report fills in what this router tells the others.
func (b *Book) Report(now time.Time, r *v1.LoadReport) {
	refresh := r.Sequence % refreshReports
	for _, t := range b.targets {
		if !t.due(uint64(t.hash)%refreshReports == refresh) {
			continue
		}
		t.pace.age(now)
		r.Targets = append(r.Targets, &v1.TargetLoad{
			Target: t.hash, Running: uint32(t.running), Unread: uint32(max(t.unread, 0)),
			Observed: float32(t.pace.observed), Predicted: float32(t.pace.predicted),
		})
	}
	for hash, u := range b.shares.byHash {
		if u.dirty == 0 {
			continue
		}
		u.dirty--
		r.Workspaces = append(r.Workspaces, &v1.WorkspaceUse{Workspace: hash, Asked: u.ownAsked, Begun: u.ownBegun})
	}
	b.reportParts(r)
}

// due reports whether the target's load is told now: after a change, and in its turn
// once more, or while it has any.
func (t *target) due(turn bool) bool {
	idle := t.running == 0 && t.unread == 0
	due := t.dirty || (turn && (t.unsettled || !idle))
	t.unsettled = t.unsettled && (t.dirty || !turn)
	t.dirty = false
	return due
}

// changed has the target's load told.
func (t *target) changed() { t.dirty, t.unsettled = true, true }

func (b *Book) reportParts(r *v1.LoadReport) {
	n := min(len(b.news), maxParts)
	r.Parts = append(r.Parts, b.news[:n]...)
	b.news = b.news[n:]
}

// snapshotAge is the age up to which kept parts are told to a router that starts:
// prompts that were not used for longer are rarely asked for again.
const snapshotAge = 20 * time.Second

// Kept returns the parts that this router told of lately, in groups that fit a
// report. Together the routers tell one that starts what all targets keep.
func (b *Book) Kept(now time.Time) [][]*v1.PartRead {
	var parts []*v1.PartRead
	for _, t := range b.targets {
		for e := t.kept.order.Back(); e != nil; e = e.Prev() {
			if p := e.Value.(*keptPart); p.mine && now.Sub(p.told) < snapshotAge {
				parts = append(parts, &v1.PartRead{Target: t.hash, Part: p.id, Tokens: uint32(p.tokens)})
			}
		}
	}
	return slices.Collect(slices.Chunk(parts, maxParts))
}

// SetKept takes what a target says that it keeps, the least recently used first.
func (b *Book) SetKept(now time.Time, id string, parts []Part) {
	t, ok := b.targets[id]
	if !ok {
		return
	}
	for _, p := range parts {
		if !t.kept.has(p.ID) {
			b.keep(now, t, []Part{p})
		}
	}
}

// Merge takes in another router's report. Old ones change nothing, but for the
// parts that they name.
func (b *Book) Merge(now time.Time, r *v1.LoadReport) {
	b.mergeParts(now, r.Parts)
	b.zones.hear(now, r.Zone)
	p, ok := b.peers[r.Router]
	if ok && (r.Incarnation < p.incarnation || (r.Incarnation == p.incarnation && r.Sequence <= p.sequence)) {
		return
	}
	if ok && r.Incarnation > p.incarnation {
		b.Forget(r.Router)
		ok = false
	}
	if !ok {
		p = &peerState{
			incarnation: r.Incarnation,
			loads:       make(map[uint32]*v1.TargetLoad),
			uses:        make(map[uint32]*v1.WorkspaceUse),
		}
		b.peers[r.Router] = p
	}
	known := p.sequence > 0
	p.sequence = r.Sequence
	p.received = now
	b.mergeLoads(p, r.Targets)
	b.mergeUses(now, p, r.Workspaces, known)
}

func (b *Book) mergeLoads(p *peerState, loads []*v1.TargetLoad) {
	for _, load := range loads {
		b.addRemote(p.loads[load.Target], -1)
		b.addRemote(load, 1)
		p.loads[load.Target] = load
	}
}

func (b *Book) addRemote(load *v1.TargetLoad, sign int) {
	if load == nil {
		return
	}
	r := b.remoteLoad(load.Target)
	r.running += sign * int(load.Running)
	r.unread += sign * int(load.Unread)
	r.observed += float64(sign) * float64(load.Observed)
	r.predicted += float64(sign) * float64(load.Predicted)
}

// mergeUses counts what was added to the totals. Those of a router that was not
// known before are older than the window.
func (b *Book) mergeUses(now time.Time, p *peerState, uses []*v1.WorkspaceUse, known bool) {
	for _, use := range uses {
		old := p.uses[use.Workspace]
		p.uses[use.Workspace] = use
		if known {
			b.shares.add(now, use.Workspace, float64(use.Asked-old.GetAsked()), float64(use.Begun-old.GetBegun()))
		}
	}
}

func (b *Book) mergeParts(now time.Time, parts []*v1.PartRead) {
	for _, part := range parts {
		if t, ok := b.byHash[part.Target]; ok {
			kept := t.kept.use(Part{ID: part.Part, Tokens: int(part.Tokens)})
			kept.told, kept.mine = now, false
		}
	}
}

// Forget drops the loads of another router.
func (b *Book) Forget(router string) {
	p, ok := b.peers[router]
	if !ok {
		return
	}
	for _, load := range p.loads {
		b.addRemote(load, -1)
	}
	delete(b.peers, router)
}

// Expire forgets routers that have been silent for the timeout and returns their
// names.
func (b *Book) Expire(now time.Time) []string {
	var gone []string
	for name, p := range b.peers {
		if now.Sub(p.received) > b.options.PeerTimeout {
			gone = append(gone, name)
		}
	}
	for _, name := range gone {
		b.Forget(name)
	}
	return gone
}
