package compose

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// schedulerHost runs the scheduler of the pool on a router. It serves the entry
// routers that have chosen this router as their scheduler, itself among them.
type schedulerHost struct {
	r *Router
	// sched is nil until the first event after a configuration is in force.
	sched    *pool.Scheduler
	sessions map[pool.Router]session
}

// session is the open link of an entry router.
type session struct {
	linkID uint64
	from   *Router
}

func newSchedulerHost(r *Router) *schedulerHost {
	return &schedulerHost{r: r, sessions: map[pool.Router]session{}}
}

// receive handles a message of an entry router. A message on a link that is not open is
// answered with the notice that the link is closed. A hello opens a link and closes the
// router's earlier one; a hello that is not newer than the open link is ignored.
func (h *schedulerHost) receive(from *Router, m entryBatch) {
	s, open := h.sessions[m.router]
	if m.hello == nil && (!open || s.linkID != m.linkID) {
		h.r.sim.sendDatagram(h.r, from, func() { from.broker.linkClosed(m.linkID) })
		return
	}
	if m.hello != nil {
		if open && s.linkID >= m.linkID {
			return
		}
		h.close(m.router)
		h.sessions[m.router] = session{linkID: m.linkID, from: from}
		h.step(*m.hello)
	}
	for _, event := range m.events {
		h.handleEvent(from, event)
	}
}

// handleEvent passes an event of an entry router to the scheduler. It converts the
// deadline of a demand from the sender's clock to the clock of this router. A Cancel is
// followed by Done, so that the slot of a demand that was granted before the Cancel
// arrived is free at once.
func (h *schedulerHost) handleEvent(from *Router, event pool.Event) {
	switch e := event.(type) {
	case pool.Demand:
		e.Deadline = e.Deadline.Add(h.r.clockOffset - from.clockOffset)
		h.step(e)
		return
	case pool.Cancel:
		h.step(e)
		h.step(pool.Done{ID: e.ID, Outcome: v1.Outcome_UNUSED})
		return
	}
	h.step(event)
}

// close ends the session of a router, if there is one.
func (h *schedulerHost) close(router pool.Router) {
	if _, open := h.sessions[router]; !open {
		return
	}
	delete(h.sessions, router)
	h.step(pool.RouterLost{Router: router})
}

// tick closes the sessions of routers that are not in contact and lets the scheduler act on
// the time.
func (h *schedulerHost) tick() {
	byName := func(a, b pool.Router) int { return cmp.Compare(a.Name, b.Name) }
	for _, router := range slices.SortedFunc(maps.Keys(h.sessions), byName) {
		if !h.inContact(router) {
			h.close(router)
		}
	}
	if h.sched != nil {
		h.step(pool.Tick{})
	}
}

// inContact returns whether the view knows the incarnation of a router and the router is
// leaving or reachable.
func (h *schedulerHost) inContact(router pool.Router) bool {
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

// step passes one event to the scheduler and sends the resulting actions to their routers.
// The event is dropped while no configuration is in force.
func (h *schedulerHost) step(event pool.Event) {
	if h.sched == nil {
		if h.r.accepted == nil {
			return
		}
		h.sched = pool.New(pool.Options{Seed: h.r.rng.Uint64()})
		h.reconfigure()
	}
	for _, action := range h.sched.Step(h.r.now(), event) {
		h.sendAction(action)
	}
	h.r.checkQueue(h.sched)
}

// sendAction sends a Grant or Refuse to its router. Other actions are dropped.
func (h *schedulerHost) sendAction(action pool.Action) {
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
	h.r.sim.sendDatagram(h.r, s.from, func() { s.from.broker.handleAction(s.linkID, action) })
}

// reconfigure passes the workspaces and targets of the configuration in force to the
// scheduler, with the targets that are leaving.
func (h *schedulerHost) reconfigure() {
	if h.sched == nil || h.r.accepted == nil {
		return
	}
	h.step(pool.WorkspacesChanged{Workspaces: h.workspaces()})
	h.step(pool.TargetsChanged{Targets: h.targets()})
}

func (h *schedulerHost) workspaces() []pool.Workspace {
	var list []pool.Workspace
	for _, w := range h.r.accepted.Proto.Workspaces {
		list = append(list, pool.Workspace{
			ID: config.IDOf(w.Name), Share: w.Share,
			MaxQueued: int(w.MaxQueuedRequests), MaxQueuedBytes: int64(w.MaxQueuedBytes),
		})
	}
	return list
}

func (h *schedulerHost) targets() []pool.Target {
	leaving := map[string]bool{}
	for _, name := range h.r.view.LeavingTargets() {
		leaving[name] = true
	}
	var list []pool.Target
	for _, t := range h.r.accepted.TargetsOf(poolName) {
		if _, ok := h.r.sim.targets[config.IDOf(t.Name)]; ok {
			list = append(list, pool.Target{
				ID: config.IDOf(t.Name), Zone: t.Zone, Slots: int(t.Slots), Speed: 1, Leaving: leaving[t.Name],
			})
		}
	}
	return list
}
