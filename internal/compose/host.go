package compose

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// host runs the scheduler of the pool for the routers that ask it.
type host struct {
	r        *Router
	sched    *pool.Scheduler
	sessions map[pool.Router]session
}

// session is the stream of an entry router.
type session struct {
	link uint64
	from *Router
}

func newHost(r *Router) *host {
	return &host{r: r, sessions: map[pool.Router]session{}}
}

// receive handles a message of an entry router. A message on a stream that is
// not open is answered by its end.
func (h *host) receive(from *Router, m batch) {
	s, open := h.sessions[m.router]
	if m.hello == nil && (!open || s.link != m.link) {
		h.r.w.send(h.r, from, func() { from.broker.closed(m.link) })
		return
	}
	if m.hello != nil {
		if open && s.link >= m.link {
			return
		}
		h.close(m.router)
		h.sessions[m.router] = session{link: m.link, from: from}
		h.step(*m.hello)
	}
	for _, event := range m.events {
		h.take(from, event)
	}
}

// take steps the scheduler by an event, whose times are by the sender's clock.
// The slot of a demand that was granted before its cancel came is free at once.
func (h *host) take(from *Router, event pool.Event) {
	switch e := event.(type) {
	case pool.Demand:
		e.Deadline = e.Deadline.Add(h.r.offset - from.offset)
		h.step(e)
		return
	case pool.Cancel:
		h.step(e)
		h.step(pool.Done{ID: e.ID, Outcome: v1.Outcome_UNUSED})
		return
	}
	h.step(event)
}

func (h *host) close(router pool.Router) {
	if _, open := h.sessions[router]; !open {
		return
	}
	delete(h.sessions, router)
	h.step(pool.RouterLost{Router: router})
}

// tick ends the streams of routers that are silent, and lets time pass.
func (h *host) tick() {
	byName := func(a, b pool.Router) int { return cmp.Compare(a.Name, b.Name) }
	for _, router := range slices.SortedFunc(maps.Keys(h.sessions), byName) {
		if !h.talks(router) {
			h.close(router)
		}
	}
	if h.sched != nil {
		h.step(pool.Tick{})
	}
}

// talks returns whether a router is known and not silent.
func (h *host) talks(router pool.Router) bool {
	known, ok := h.r.view.Lookup(router.Name)
	if !ok || known.Incarnation != router.Incarnation {
		return false
	}
	if h.r.view.Leaving(router.Name, router.Incarnation) {
		return true
	}
	for _, m := range h.r.view.Reachable() {
		if m.Name == router.Name {
			return true
		}
	}
	return false
}

// step runs one event and sends what follows.
func (h *host) step(event pool.Event) {
	if h.sched == nil {
		if h.r.accepted == nil {
			return
		}
		h.sched = pool.New(pool.Options{Seed: h.r.rng.Uint64()})
		h.reconfigure()
	}
	for _, action := range h.sched.Step(h.r.now(), event) {
		h.route(action)
	}
	h.r.checkQueue(h.sched)
}

func (h *host) route(action pool.Action) {
	var to pool.Router
	switch a := action.(type) {
	case pool.Grant:
		to = a.ID.Router
		h.r.checkGrant(a)
	case pool.Refuse:
		to = a.ID.Router
	}
	s, ok := h.sessions[to]
	if !ok {
		return
	}
	h.r.w.send(h.r, s.from, func() { s.from.broker.received(s.link, action) })
}

// reconfigure applies the configuration in force and the leaving targets.
func (h *host) reconfigure() {
	if h.sched == nil || h.r.accepted == nil {
		return
	}
	h.step(pool.WorkspacesChanged{Workspaces: h.workspaces()})
	h.step(pool.TargetsChanged{Targets: h.targets()})
}

func (h *host) workspaces() []pool.Workspace {
	var list []pool.Workspace
	for _, w := range h.r.accepted.Proto.Workspaces {
		list = append(list, pool.Workspace{
			ID: config.IDOf(w.Name), Share: w.Share,
			MaxQueued: int(w.MaxQueuedRequests), MaxQueuedBytes: int64(w.MaxQueuedBytes),
		})
	}
	return list
}

func (h *host) targets() []pool.Target {
	leaving := map[string]bool{}
	for _, name := range h.r.view.LeavingTargets() {
		leaving[name] = true
	}
	var list []pool.Target
	for _, t := range h.r.accepted.TargetsOf(poolName) {
		if _, ok := h.r.w.targets[config.IDOf(t.Name)]; ok {
			list = append(list, pool.Target{
				ID: config.IDOf(t.Name), Zone: t.Zone, Slots: int(t.Slots), Speed: 1, Leaving: leaving[t.Name],
			})
		}
	}
	return list
}
