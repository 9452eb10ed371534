package edge

import (
	"context"
	"errors"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// Errors of a Source. Others are failures of the connection or unreadable values.
var (
	// ErrHistoryLost says that the changes since a revision are not available: the
	// whole has to be read again.
	ErrHistoryLost = errors.New("edge: the history since the revision is lost")
	// ErrStoreBusy says that the store refused the call.
	ErrStoreBusy = errors.New("edge: the store refuses calls")
)

// Source reads what the platform publishes. Revisions are of one counter and
// only rise. Implementations are safe for concurrent use.
type Source interface {
	// Configuration returns the newest table and the revision to watch from. The table
	// is nil if none was published yet.
	Configuration(ctx context.Context) (*routing.Table, uint64, error)
	// WatchConfiguration waits for a table later than a revision. The table is nil
	// if none came within the wait.
	WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (*routing.Table, uint64, error)
	// Targets returns all registrations and the revision to watch from.
	Targets(ctx context.Context) ([]TargetChange, uint64, error)
	// WatchTargets waits for changes of registrations after a revision.
	WatchTargets(ctx context.Context, after uint64, wait time.Duration) ([]TargetChange, uint64, error)
}

// TargetChange is one registration of a target or its removal.
type TargetChange struct {
	ID     string
	Target routing.Target
	// Removed is set if the registration is gone.
	Removed bool
	// Err says why the registration cannot be read; it names no target then.
	Err error
	// Revision is that of the change.
	Revision uint64
}
