package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// clearScreen is the escape sequence that moves the cursor of a terminal home and erases the
// screen.
const clearScreen = "\x1b[H\x1b[2J"

// Top prints the usage of workspaces at regular intervals.
type Top struct {
	// Sample fetches the status of the fleet.
	Sample func(context.Context) (Fleet, error)
	// Wait blocks for the interval. It returns an error once ctx is done.
	Wait func(ctx context.Context, interval time.Duration) error
	// Interval is the time between two samples.
	Interval time.Duration
	// Once makes Run return after the first table.
	Once bool
}

// Run prints the usage between each two samples to w, until ctx is cancelled or, with Once,
// after one table. Other errors end it too and are returned.
func (t Top) Run(ctx context.Context, w io.Writer) error {
	before, err := t.Sample(ctx)
	if err != nil {
		return err
	}
	for {
		if err := t.Wait(ctx, t.Interval); err != nil {
			return ignoreCancelled(err)
		}
		after, err := t.Sample(ctx)
		if err != nil {
			return ignoreCancelled(err)
		}
		if err := t.print(w, before, after); err != nil || t.Once {
			return err
		}
		before = after
	}
}

// print prints one table, and the number of routers that gave no status. Without Once it clears
// the screen first.
func (t Top) print(w io.Writer, before, after Fleet) error {
	if !t.Once {
		if _, err := io.WriteString(w, clearScreen); err != nil {
			return err
		}
	}
	if n := len(after.Unreachable); n > 0 {
		if _, err := fmt.Fprintf(w, "%d routers unreachable\n", n); err != nil {
			return err
		}
	}
	return PrintUsage(w, UsageBetween(before, after))
}

// ignoreCancelled returns nil if err is the cancellation of a context, which is how an
// operator's interrupt ends Run, and err otherwise.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Wait blocks for the interval, or returns the error of ctx once that is done.
func Wait(ctx context.Context, interval time.Duration) error {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
