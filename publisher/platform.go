// Package publisher reads what the platform publishes: the configuration and the list of live and
// leaving instances. It writes nothing to the platform.
package publisher

import (
	"context"
	"errors"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Errors of a Source. All other errors mean that the platform was not reached or that its answer
// was invalid.
var (
	// ErrUnchanged is returned if nothing newer was published within the wait.
	ErrUnchanged = errors.New("publisher: nothing newer than the revision asked for")
	// ErrRateLimited is returned if the platform refused the call because of its rate limit.
	ErrRateLimited = errors.New("publisher: rate limit reached")
)

// Source gives routers access to what the platform publishes. Every call, including one that
// waits, counts against the platform's rate limit. Implementations are safe for concurrent use.
type Source interface {
	// Configuration waits until the configuration has a revision above after and returns it. It
	// returns ErrUnchanged if that does not happen within wait. A stale replica of the platform
	// may return a revision that is not above after; the caller must check.
	Configuration(ctx context.Context, after uint64, wait time.Duration) (*v1.PublishedConfiguration, error)
	// Instances does the same for the instance list.
	Instances(ctx context.Context, after uint64, wait time.Duration) (*v1.InstanceList, error)
}
