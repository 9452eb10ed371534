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
	listPollInterval   = 5 * time.Second
	keyViewsInterval   = time.Second
	platformErrorDelay = 200 * time.Millisecond
)

// peerState is what routers exchange.
type peerState struct {
	state    *v1.PeerState
	suspects quarantine.Snapshot
}

// platformReader is the duty that reads one of the platform's values.
type platformReader struct {
	*rollout.Reader
	waitUntil time.Time
	busy      bool
	// read takes in the value and returns whether it was new.
	read func() bool
}

func (r *Router) configReading() *platformReader {
	reader := rollout.NewReader(rollout.DefaultReaderOptions(), "configuration", r.member.Name, r.zone, r.rng, r.now())
	return &platformReader{Reader: reader, read: r.readConfig}
}

func (r *Router) listReading() *platformReader {
	reader := rollout.NewReader(rollout.DefaultReaderOptions(), "instances", r.member.Name, r.zone, r.rng, r.now())
	r.sim.after(r, listPollInterval, r.pollList)
	r.sim.after(r, keyViewsInterval, r.requestKeyViews)
	return &platformReader{Reader: reader, read: r.readList}
}

// readConfig takes in what the platform answers, older values of a stale
// replica too.
func (r *Router) readConfig() bool {
	p := r.sim.Platform
	offer := p.publicationAt(p.servedTime()).offer
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
	list := r.sim.Platform.listAt(r.sim.Platform.servedTime())
	if list.Revision <= r.view.ListRevision() {
		return false
	}
	r.applyList(list)
	return true
}

// pollList reads the list though it is unchanged, for its time.
func (r *Router) pollList() {
	if r.sim.Platform.reachable(r.zone) {
		r.applyList(r.sim.Platform.listAt(r.sim.Platform.servedTime()))
	}
	r.sim.after(r, listPollInterval/2+time.Duration(r.rng.Int64N(int64(listPollInterval))), r.pollList)
}

func (r *Router) applyList(list *v1.InstanceList) {
	r.view.ApplyList(r.now(), list)
	r.observeList(list)
	r.fleetChanged()
}

func (r *Router) observeList(list *v1.InstanceList) {
	r.ledger.Observe(r.now(), requestkey.ViewFromList(list))
}

// pollPlatform starts and ends reads of the platform.
func (r *Router) pollPlatform(reader *platformReader, zonePeers []string) {
	now := r.now()
	reader.SetPeers(now, zonePeers)
	wait, due := reader.Next(now)
	if due {
		reader.busy, reader.waitUntil = true, now.Add(wait)
	}
	if !reader.busy {
		return
	}
	if !r.sim.Platform.reachable(r.zone) {
		reader.busy = false
		r.sim.after(r, platformErrorDelay, func() { reader.Done(r.now(), false) })
		return
	}
	if reader.read() || !now.Before(reader.waitUntil) {
		reader.busy = false
		reader.Done(now, true)
	}
}

func (r *Router) controlTick() {
	r.view.Tick(r.now())
	r.fleetChanged()
	for _, d := range r.readers {
		r.pollPlatform(d, r.zoneRouters())
	}
	var names []string
	for _, m := range r.view.Sources(r.now()) {
		if m.Name != r.member.Name {
			names = append(names, m.Name)
		}
	}
	if r.view.ListRevision() > 0 || len(names) > 0 {
		r.tracker.SetPeers(names)
	}
	r.perform(r.tracker.Tick(r.now()))
	r.exchangeWithDuePeers()
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
	r.schedulerHost.reconfigure()
	r.broker.followScheduler()
}

func (r *Router) exchangeWithDuePeers() {
	for _, m := range r.view.Next(r.now()) {
		r.exchange(m.Name)
	}
}

// announce swaps state with all routers that can be asked, stopping ones too, and
// goes on when they have answered or the limit is over. It tells whether all have
// answered.
func (r *Router) announce(limit time.Duration, onEnd func(answered bool)) {
	waiting := map[string]bool{}
	for _, m := range r.view.Sources(r.now()) {
		if m.Name != r.member.Name {
			waiting[m.Name] = true
		}
	}
	done := false
	finish := func(answered bool) {
		if !done {
			done = true
			onEnd(answered)
		}
	}
	if len(waiting) == 0 {
		finish(true)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(waiting)) {
		r.exchangeThen(name, func() {
			delete(waiting, name)
			if len(waiting) == 0 {
				finish(true)
			}
		})
	}
	r.sim.after(r, limit, func() { finish(false) })
}

// exchange swaps state with a peer.
func (r *Router) exchange(name string) { r.exchangeThen(name, func() {}) }

// exchangeThen exchanges state and calls answered when the peer's has come.
func (r *Router) exchangeThen(name string, answered func()) {
	to := r.sim.peer(name)
	out := r.stateFor(name)
	r.sim.sendDatagram(r, to, func() {
		to.merge(out)
		in := to.stateFor(r.member.Name)
		to.sim.sendDatagram(to, r, func() {
			r.merge(in)
			answered()
		})
	})
}

func (r *Router) stateFor(receiver string) peerState {
	return peerState{
		state:    proto.CloneOf(r.view.StateFor(receiver)),
		suspects: r.quarantine.Snapshot(r.now()),
	}
}

func (r *Router) merge(in peerState) {
	state := proto.CloneOf(in.state)
	merged := r.view.Merge(r.now(), state)
	if merged.List {
		r.observePeerLists()
	}
	if merged.Ignored {
		return
	}
	r.quarantine.Merge(r.now(), state.Router, in.suspects)
	r.perform(r.tracker.PeerSeen(r.now(), state.Router, versionOf(merged.Config)))
	if merged.List || merged.Leaving {
		r.fleetChanged()
	}
}

func versionOf(c fleet.ConfigVersion) rollout.Version {
	v := rollout.Version{Revision: c.Revision}
	copy(v.Digest[:], c.Digest)
	return v
}

// observePeerLists lets the keys follow lists that came from peers.
func (r *Router) observePeerLists() {
	for _, l := range r.view.History(r.now()) {
		view := requestkey.View{Revision: l.Revision, FirstAsOf: l.AsOf, LastAsOf: l.AsOf}
		for name, incarnation := range l.Routers {
			view.Routers = append(view.Routers, requestkey.Member{Name: name, Incarnation: incarnation})
		}
		r.ledger.Observe(r.now(), view)
	}
}

// requestKeyViews asks each reachable peer once for the lists that decide about keys.
func (r *Router) requestKeyViews() {
	for _, m := range r.view.Reachable() {
		if m.Name == r.member.Name || r.keyViewsFrom[m.Name] {
			continue
		}
		to := r.sim.peer(m.Name)
		r.sim.sendDatagram(r, to, func() {
			views := to.ledger.Views()
			to.sim.sendDatagram(to, r, func() {
				r.keyViewsFrom[m.Name] = true
				r.ledger.Observe(r.now(), views...)
			})
		})
	}
	r.sim.after(r, keyViewsInterval, r.requestKeyViews)
}

func (r *Router) perform(actions []rollout.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rollout.Ask:
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
	r.schedulerHost.reconfigure()
}

func (r *Router) fetch(a rollout.Fetch) {
	to := r.sim.peer(a.Peer)
	r.sim.sendOnStream(r, to, func() {
		held := to.accepted
		failed := held == nil || held.Revision < a.MinRevision
		to.sim.sendDatagram(to, r, func() {
			if failed {
				r.tracker.FetchFailed(r.now(), a.Peer)
				return
			}
			r.perform(r.tracker.Offer(r.now(), rollout.Offer{Revision: held.Revision, Payload: held.Payload, Source: a.Peer}))
		})
	})
}
