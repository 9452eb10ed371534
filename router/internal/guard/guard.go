// Package guard decides for the dispatcher whether an attempt of a request may be made.
// It refuses requests that crash targets (package quarantine) and keeps retries within
// a budget (package retry).
//
// A suspect is a request that was in flight when a target was lost, and that may have
// crashed it. The routers allow only one run of a suspect at a time: a router announces
// the run to the other routers before it starts.
package guard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/quarantine"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/retry"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// maxSuspectWait bounds the time between two checks of whether a suspect may run, so that
// a change in the suspects that another router reports is noticed soon.
const maxSuspectWait = 250 * time.Millisecond

// announceTimeout bounds the wait for the other routers' answers to an announcement.
// For up to this time, the result of a request that was lost with its target is held
// back until the other routers know of the loss.
const announceTimeout = 100 * time.Millisecond

// Guard implements dispatch.Guard and control.Gossip. It is safe for concurrent use.
type Guard struct {
	store *state.Store
	// announce sends the router's state to the other routers at once and reports
	// whether all have answered before the context ended.
	announce func(context.Context) bool

	// mu guards the fields below.
	mu      sync.Mutex
	tracker *quarantine.Tracker
	// budget is nil until a configuration allows retries. budgetPercent is the
	// percentage of retries that it allows.
	budget        *retry.Budget
	budgetPercent uint32
	policy        retry.Policy
}

// New returns the guard of the named router. announce exchanges state with the other
// routers. It returns when they have answered or the context ends, and reports whether
// all have answered.
func New(router string, store *state.Store, announce func(context.Context) bool) *Guard {
	return &Guard{store: store, announce: announce, tracker: quarantine.New(router, quarantine.Options{})}
}

// Begin implements dispatch.Guard. While another router runs the same suspect or has
// announced that it will, Begin checks again at intervals of at most maxSuspectWait.
func (g *Guard) Begin(ctx context.Context, digest uint64, startBy time.Time) (bool, *result.Result) {
	for {
		decision := g.begin(digest)
		switch decision.Action {
		case quarantine.Run:
			return decision.Suspect, nil
		case quarantine.Refuse:
			refusal := result.New(decision.Code, v1.Ran_NO, "try again once the entry has expired")
			refusal.RetryAfter = decision.RetryAfter
			return false, refusal
		}
		if decision.Announcement > 0 && g.announceSuspect(ctx, digest, decision.Announcement, startBy) {
			continue
		}
		left := time.Until(startBy)
		if left <= 0 {
			return false, result.New(v1.Code_DEADLINE_EXCEEDED, v1.Ran_NO, "the request was a suspect until its deadline")
		}
		timer := time.NewTimer(min(decision.RetryAfter, maxSuspectWait, left))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false, result.New(v1.Code_CANCELLED, v1.Ran_NO, "the caller went away while the request was a suspect")
		}
	}
}

// announceSuspect announces the run of a suspect to the other routers and waits for
// their answers, until startBy at most. It reports whether all have answered.
func (g *Guard) announceSuspect(ctx context.Context, digest, announcement uint64, startBy time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, min(announceTimeout, time.Until(startBy)))
	defer cancel()
	if !g.announce(ctx) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Acknowledge(time.Now(), quarantine.Digest(digest), announcement)
	return true
}

func (g *Guard) begin(digest uint64) quarantine.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Begin(time.Now(), quarantine.Digest(digest))
}

// Confirm implements dispatch.Guard.
func (g *Guard) Confirm(digest uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Confirm(time.Now(), quarantine.Digest(digest))
}

// End implements dispatch.Guard. After a crash it waits up to announceTimeout until the
// other routers know of the loss, so that the request is a suspect everywhere when its
// caller sends it again after the failure.
func (g *Guard) End(digest uint64, target config.ID, ending dispatch.Ending) {
	g.end(digest, target, ending)
	if ending != dispatch.EndedCrashed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	g.announce(ctx)
}

func (g *Guard) end(digest uint64, target config.ID, ending dispatch.Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch ending {
	case dispatch.EndedCrashed:
		g.tracker.Lost(now, quarantine.Digest(digest), quarantine.Target(target))
	case dispatch.EndedAnswered:
		g.tracker.Answered(now, quarantine.Digest(digest))
	case dispatch.EndedNotRun:
		g.tracker.NotRun(now, quarantine.Digest(digest))
	default:
		g.tracker.Ended(now, quarantine.Digest(digest))
	}
}

// RecordRequest implements dispatch.Guard.
func (g *Guard) RecordRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if budget := g.currentBudget(now); budget != nil {
		budget.RecordRequest(now)
	}
}

// Retry implements dispatch.Guard.
func (g *Guard) Retry(attempt retry.Attempt) retry.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	budget := g.currentBudget(now)
	if budget == nil {
		return retry.Decision{Code: v1.Code_RETRY_BUDGET_EXHAUSTED}
	}
	return g.policy.Next(now, attempt, budget, rand.Uint64())
}

// currentBudget returns the retry budget of the configuration in force, or nil if there
// is no configuration or it allows no retries. A changed percentage starts a new
// budget. The caller holds mu.
func (g *Guard) currentBudget(now time.Time) *retry.Budget {
	accepted := g.store.Config()
	if accepted == nil {
		return nil
	}
	percent := accepted.Proto.GetLimits().GetRetryBudgetPercent()
	if percent == 0 {
		return nil
	}
	if g.budget == nil || g.budgetPercent != percent {
		g.budget = retry.NewBudget(now, retry.BudgetOptions{Percent: float64(percent)})
		g.budgetPercent = percent
	}
	return g.budget
}

// Fill implements control.Gossip. It adds the suspects that this router knows of.
func (g *Guard) Fill(out *v1.PeerState) {
	g.mu.Lock()
	snapshot := g.tracker.Snapshot(time.Now())
	g.mu.Unlock()
	if len(snapshot.Suspects) > 0 {
		out.SuspectsSeq = snapshot.Seq
	}
	for _, s := range snapshot.Suspects {
		m := &v1.Suspect{
			Digest:    uint64(s.Digest),
			ExpiresMs: uint32(s.Remaining.Milliseconds()),
			Running:   s.Running,
			Announced: s.Announced,
			Cleared:   s.Cleared,
		}
		for _, target := range s.LostTargets {
			m.LostTargets = append(m.LostTargets, uint32(target))
		}
		out.Suspects = append(out.Suspects, m)
	}
}

// Merge implements control.Gossip. It takes in the suspects that another router
// reports.
func (g *Guard) Merge(in *v1.PeerState) {
	suspects := make([]quarantine.Suspect, len(in.Suspects))
	for i, m := range in.Suspects {
		suspects[i] = quarantine.Suspect{
			Digest:    quarantine.Digest(m.Digest),
			Remaining: time.Duration(m.ExpiresMs) * time.Millisecond,
			Running:   m.Running,
			Announced: m.Announced,
			Cleared:   m.Cleared,
		}
		for _, target := range m.LostTargets {
			suspects[i].LostTargets = append(suspects[i].LostTargets, quarantine.Target(target))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Merge(time.Now(), in.Router, quarantine.Snapshot{Seq: in.SuspectsSeq, Suspects: suspects})
}
