package compose

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/fleet"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/quarantine"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/rollout"
)

const (
	listPoll       = 5 * time.Second
	viewsInterval  = time.Second
	platformFailed = 200 * time.Millisecond
)

// peerState is what routers exchange.
type peerState struct {
	state    *v1.PeerState
	suspects quarantine.Snapshot
}

// reading is the duty that reads one of the platform's values.
type reading struct {
	*rollout.Reader
	until time.Time
	busy  bool
	// read takes in the value and returns whether it was new.
	read func() bool
}

func (r *Router) configReading() *reading {
	reader := rollout.NewReader(rollout.DefaultReaderOptions(), "configuration", r.member.Name, r.zone, r.rng, r.now())
	return &reading{Reader: reader, read: r.readConfig}
}

func (r *Router) listReading() *reading {
	reader := rollout.NewReader(rollout.DefaultReaderOptions(), "instances", r.member.Name, r.zone, r.rng, r.now())
	r.w.after(r, listPoll, r.renew)
	r.w.after(r, viewsInterval, r.askViews)
	return &reading{Reader: reader, read: r.readList}
}

// readConfig takes in what the platform answers, older values of a stale
// replica too.
func (r *Router) readConfig() bool {
	p := r.w.Platform
	offer := p.publicationAt(p.time()).offer
	seen := r.seenRevision()
	if offer.Revision == seen {
		return false
	}
	r.perform(r.tracker.Offer(r.now(), offer))
	return offer.Revision > seen
}

// seenRevision returns the highest revision that was judged.
func (r *Router) seenRevision() uint64 {
	version, _ := r.tracker.InForce()
	revision := version.Revision
	for _, rejection := range r.tracker.Rejections() {
		revision = max(revision, rejection.Version.Revision)
	}
	return revision
}

func (r *Router) readList() bool {
	list := r.w.Platform.list(r.w.Platform.time())
	if list.Revision <= r.view.ListRevision() {
		return false
	}
	r.applyList(list)
	return true
}

// renew reads the list though it is unchanged, for its time.
func (r *Router) renew() {
	if r.w.Platform.reachable(r.zone) {
		r.applyList(r.w.Platform.list(r.w.Platform.time()))
	}
	r.w.after(r, listPoll/2+time.Duration(r.rng.Int64N(int64(listPoll))), r.renew)
}

func (r *Router) applyList(list *v1.InstanceList) {
	r.view.ApplyList(r.now(), list)
	r.observe(list)
	r.fleetChanged()
}

func (r *Router) observe(list *v1.InstanceList) {
	r.ledger.Observe(r.now(), requestkey.ViewFromList(list))
}

// poll starts and ends reads of the platform.
func (r *Router) poll(d *reading, zone []string) {
	now := r.now()
	d.SetPeers(now, zone)
	wait, due := d.Next(now)
	if due {
		d.busy, d.until = true, now.Add(wait)
	}
	if !d.busy {
		return
	}
	if !r.w.Platform.reachable(r.zone) {
		d.busy = false
		r.w.after(r, platformFailed, func() { d.Done(r.now(), false) })
		return
	}
	if d.read() || !now.Before(d.until) {
		d.busy = false
		d.Done(now, true)
	}
}

func (r *Router) controlTick() {
	r.view.Tick(r.now())
	r.fleetChanged()
	for _, d := range r.readers {
		r.poll(d, r.zoneRouters())
	}
	var names []string
	for _, m := range r.view.SyncPeers(r.now()) {
		if m.Name != r.member.Name {
			names = append(names, m.Name)
		}
	}
	if r.view.ListRevision() > 0 || len(names) > 0 {
		r.tracker.SetPeers(names)
	}
	r.perform(r.tracker.Tick(r.now()))
	r.exchangeDue()
}

// zoneRouters returns the reachable routers of the router's own zone.
func (r *Router) zoneRouters() []string {
	var names []string
	for _, m := range r.view.ReachableIn(func(zone string) bool { return zone == r.zone }) {
		names = append(names, m.Name)
	}
	return names
}

// fleetChanged lets the roles follow the view.
func (r *Router) fleetChanged() {
	r.host.reconfigure()
	r.broker.replace()
}

func (r *Router) exchangeDue() {
	for _, m := range r.view.DueContacts(r.now()) {
		r.exchange(m.Name)
	}
}

// announce swaps state with all routers that can be asked, stopping ones too, and
// goes on when they have answered or the limit is over. It tells whether all have
// answered.
func (r *Router) announce(limit time.Duration, next func(answered bool)) {
	waiting := map[string]bool{}
	for _, m := range r.view.SyncPeers(r.now()) {
		if m.Name != r.member.Name {
			waiting[m.Name] = true
		}
	}
	done := false
	end := func(answered bool) {
		if !done {
			done = true
			next(answered)
		}
	}
	if len(waiting) == 0 {
		end(true)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(waiting)) {
		r.swap(name, func() {
			delete(waiting, name)
			if len(waiting) == 0 {
				end(true)
			}
		})
	}
	r.w.after(r, limit, func() { end(false) })
}

// exchange swaps state with a peer.
func (r *Router) exchange(name string) { r.swap(name, func() {}) }

// swap exchanges state and calls answered when the peer's has come.
func (r *Router) swap(name string, answered func()) {
	to := r.w.peer(name)
	out := r.stateFor(name)
	r.w.send(r, to, func() {
		to.merge(out)
		in := to.stateFor(r.member.Name)
		to.w.send(to, r, func() {
			r.merge(in)
			answered()
		})
	})
}

func (r *Router) stateFor(receiver string) peerState {
	return peerState{
		state:    proto.CloneOf(r.view.StateFor(receiver)),
		suspects: r.book.Snapshot(r.now()),
	}
}

func (r *Router) merge(in peerState) {
	state := proto.CloneOf(in.state)
	merged := r.view.Merge(r.now(), state)
	if merged.List {
		r.observeLists()
	}
	if merged.Ignored {
		return
	}
	r.book.Merge(r.now(), state.Router, in.suspects)
	r.perform(r.tracker.SetPeerVersion(r.now(), state.Router, versionOf(merged.Config)))
	if merged.List || merged.Leaving {
		r.fleetChanged()
	}
}

func versionOf(c fleet.ConfigVersion) rollout.Version {
	v := rollout.Version{Revision: c.Revision}
	copy(v.Digest[:], c.Digest)
	return v
}

// observeLists lets the keys follow lists that came from peers.
func (r *Router) observeLists() {
	for _, l := range r.view.History(r.now()) {
		view := requestkey.View{Revision: l.Revision, FirstAsOf: l.AsOf, LastAsOf: l.AsOf}
		for name, incarnation := range l.Routers {
			view.Routers = append(view.Routers, requestkey.Member{Name: name, Incarnation: incarnation})
		}
		r.ledger.Observe(r.now(), view)
	}
}

// askViews asks each reachable peer once for the lists that decide about keys.
func (r *Router) askViews() {
	for _, m := range r.view.Reachable() {
		if m.Name == r.member.Name || r.asked[m.Name] {
			continue
		}
		to := r.w.peer(m.Name)
		r.w.send(r, to, func() {
			views := to.ledger.Views()
			to.w.send(to, r, func() {
				r.asked[m.Name] = true
				r.ledger.Observe(r.now(), views...)
			})
		})
	}
	r.w.after(r, viewsInterval, r.askViews)
}

func (r *Router) perform(actions []rollout.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rollout.Query:
			r.exchange(a.Peer)
		case rollout.Fetch:
			r.fetch(a)
		case rollout.Apply:
			r.apply(a)
		}
	}
}

func (r *Router) apply(a rollout.Apply) {
	if version, _ := r.tracker.InForce(); version != a.Version {
		return
	}
	r.checkApply(a)
	r.accepted = a.Configuration
	r.view.SetConfig(fleet.ConfigVersion{Revision: a.Version.Revision, Digest: string(a.Version.Digest[:])})
	r.host.reconfigure()
}

func (r *Router) fetch(a rollout.Fetch) {
	to := r.w.peer(a.Peer)
	r.w.stream(r, to, func() {
		held := to.accepted
		failed := held == nil || held.Revision < a.MinRevision
		to.w.send(to, r, func() {
			if failed {
				r.tracker.FetchFailed(r.now(), a.Peer)
				return
			}
			r.perform(r.tracker.Offer(r.now(), rollout.Offer{Revision: held.Revision, Payload: held.Payload, Source: a.Peer}))
		})
	})
}
