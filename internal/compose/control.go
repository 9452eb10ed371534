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
	// listPollInterval is the mean interval at which a router reads the instance list for
	// its as-of time.
	listPollInterval = 5 * time.Second
	// keyViewsInterval is the interval at which a router asks peers for their key views.
	keyViewsInterval = time.Second
	// platformErrorDelay is the time until a call to the platform fails.
	platformErrorDelay = 200 * time.Millisecond
)

// peerState is the message that two routers exchange.
type peerState struct {
	state    *v1.PeerState
	suspects quarantine.Snapshot
}

// platformReader reads one of the platform's two values, the configuration or the instance
// list.
type platformReader struct {
	*rollout.Reader
	// waitUntil is the time at which the read in progress ends without a change.
	waitUntil time.Time
	// busy is set while a read is in progress.
	busy bool
	// read applies the platform's value and returns whether it was new.
	read func() bool
}

func (r *Router) newConfigReader() *platformReader {
	reader := rollout.NewReader(rollout.DefaultReaderOptions(), "configuration", r.member.Name, r.zone, r.rng, r.now())
	return &platformReader{Reader: reader, read: r.readConfig}
}

// newListReader returns the reader of the instance list. It also starts the periodic work
// that depends on the list.
func (r *Router) newListReader() *platformReader {
	reader := rollout.NewReader(rollout.DefaultReaderOptions(), "instances", r.member.Name, r.zone, r.rng, r.now())
	r.sim.after(r, listPollInterval, r.pollList)
	r.sim.after(r, keyViewsInterval, r.requestKeyViews)
	return &platformReader{Reader: reader, read: r.readList}
}

// readConfig passes the platform's configuration to the tracker, also an older one from a
// stale replica, and returns whether its revision is new.
func (r *Router) readConfig() bool {
	p := r.sim.Platform
	offer := p.publicationAt(p.servedTime()).offer
	decided := r.decidedRevision()
	if offer.Revision == decided {
		return false
	}
	r.perform(r.tracker.Offer(r.now(), offer))
	return offer.Revision > decided
}

// decidedRevision returns the highest revision that was accepted or rejected.
func (r *Router) decidedRevision() uint64 {
	version, _ := r.tracker.InForce()
	revision := version.Revision
	for _, rejection := range r.tracker.Rejections() {
		revision = max(revision, rejection.Version.Revision)
	}
	return revision
}

// readList applies the platform's instance list if its revision is new.
func (r *Router) readList() bool {
	list := r.sim.Platform.listAt(r.sim.Platform.servedTime())
	if list.Revision <= r.view.ListRevision() {
		return false
	}
	r.applyList(list)
	return true
}

// pollList reads the instance list periodically, also if its revision is unchanged, because
// the right to begin keys depends on the list's as-of time.
func (r *Router) pollList() {
	if r.sim.Platform.reachable(r.zone) {
		r.applyList(r.sim.Platform.listAt(r.sim.Platform.servedTime()))
	}
	r.sim.after(r, listPollInterval/2+time.Duration(r.rng.Int64N(int64(listPollInterval))), r.pollList)
}

// applyList puts an instance list into force in the view and the ledger.
func (r *Router) applyList(list *v1.InstanceList) {
	r.view.ApplyList(r.now(), list)
	r.observeList(list)
	r.fleetChanged()
}

// observeList passes an instance list to the ledger.
func (r *Router) observeList(list *v1.InstanceList) {
	r.ledger.Observe(r.now(), requestkey.ViewFromList(list))
}

// pollPlatform begins a read if one is due, and ends a read when the value has changed, the
// wait is over or the platform does not answer.
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

// controlTick runs the periodic work on the view, the configuration and the peers.
func (r *Router) controlTick() {
	r.view.Tick(r.now())
	r.fleetChanged()
	for _, reader := range r.readers {
		r.pollPlatform(reader, r.zoneRouters())
	}
	var peers []string
	for _, m := range r.view.SyncPeers(r.now()) {
		if m.Name != r.member.Name {
			peers = append(peers, m.Name)
		}
	}
	if r.view.ListRevision() > 0 || len(peers) > 0 {
		r.tracker.SetPeers(peers)
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

// fleetChanged updates the scheduler and the broker after a change of the view.
func (r *Router) fleetChanged() {
	r.schedulerHost.reconfigure()
	r.broker.followScheduler()
}

// exchangeWithDuePeers exchanges state with the peers that the view names.
func (r *Router) exchangeWithDuePeers() {
	for _, m := range r.view.DueContacts(r.now()) {
		r.exchange(m.Name)
	}
}

// announce exchanges state with all peers in fleet.View.SyncPeers, stopping ones too. It calls
// onEnd once, when all have answered or the limit has passed, and tells it whether all have
// answered.
func (r *Router) announce(limit time.Duration, onEnd func(answered bool)) {
	waiting := map[string]bool{}
	for _, m := range r.view.SyncPeers(r.now()) {
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

// exchange exchanges state with a peer.
func (r *Router) exchange(name string) { r.exchangeThen(name, func() {}) }

// exchangeThen exchanges state with a peer and calls answered after merging each answer.
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

// stateFor returns the message for a peer.
func (r *Router) stateFor(receiver string) peerState {
	return peerState{
		state:    proto.CloneOf(r.view.StateFor(receiver)),
		suspects: r.quarantineTracker.Snapshot(r.now()),
	}
}

// merge applies a message of a peer to the view, the ledger, the quarantine tracker and the
// configuration tracker. From a message that the view ignores, it takes only the instance
// lists.
func (r *Router) merge(in peerState) {
	state := proto.CloneOf(in.state)
	merged := r.view.Merge(r.now(), state)
	if merged.List {
		r.observePeerLists()
	}
	if merged.Ignored {
		return
	}
	r.quarantineTracker.Merge(r.now(), state.Router, in.suspects)
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

// observePeerLists passes the lists of the view, which may come from peers, to the ledger.
func (r *Router) observePeerLists() {
	for _, l := range r.view.History(r.now()) {
		view := requestkey.View{Revision: l.Revision, FirstAsOf: l.AsOf, LastAsOf: l.AsOf}
		for name, incarnation := range l.Routers {
			view.Routers = append(view.Routers, requestkey.Member{Name: name, Incarnation: incarnation})
		}
		r.ledger.Observe(r.now(), view)
	}
}

// requestKeyViews asks each reachable peer for its key views until it has answered
// once. The views fill gaps in the lists that the ledger has observed.
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

// perform carries out the actions of the tracker.
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

// apply puts a configuration into force unless the tracker already has a newer one.
func (r *Router) apply(a rollout.Apply) {
	if version, _ := r.tracker.InForce(); version != a.Version {
		return
	}
	r.checkApply(a)
	r.accepted = a.Configuration
	r.view.SetConfig(fleet.ConfigVersion{Revision: a.Version.Revision, Digest: string(a.Version.Digest[:])})
	r.schedulerHost.reconfigure()
}

// fetch requests the configuration of a peer and offers it to the tracker.
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
