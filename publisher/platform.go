// Package publisher reads what the platform publishes: the configuration and
// the list of live and leaving instances. Nothing is ever written to it.
package publisher

import (
	"context"
	"errors"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Errors of a Source. Other errors are failures of the connection.
var (
	// ErrUnchanged is returned when nothing newer appeared within the wait.
	ErrUnchanged = errors.New("publisher: nothing newer than the revision asked for")
	// ErrRateLimited is returned when the platform refused the call for its rate.
	ErrRateLimited = errors.New("publisher: rate limit reached")
)

// Source is read by routers. Each call, a waiting one too, counts against the
// platform's rate. Implementations are safe for concurrent use.
type Source interface {
	// Configuration returns the configuration once its revision is above
	// after, or ErrUnchanged when wait has passed. A stale replica may return
	// a lower revision; the caller has to check.
	Configuration(ctx context.Context, after uint64, wait time.Duration) (*v1.PublishedConfiguration, error)
	// Instances does the same for the instance list.
	Instances(ctx context.Context, after uint64, wait time.Duration) (*v1.InstanceList, error)
}
