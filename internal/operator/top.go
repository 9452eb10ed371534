package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// clearScreen moves the cursor of a terminal home and erases the screen.
const clearScreen = "\x1b[H\x1b[2J"

// Top prints the usage of workspaces again and again.
type Top struct {
	// Sample asks the fleet.
	Sample func(context.Context) (Fleet, error)
	// Wait returns after the interval, or with an error once ctx is done.
	Wait func(ctx context.Context, interval time.Duration) error
	// Interval is the time between two samples.
	Interval time.Duration
	// Once ends after the first table.
	Once bool
}

// Run prints to w until ctx is done or, with Once, one table.
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

// ignoreCancelled drops the error of an operator's interrupt.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Wait blocks for the interval or until ctx is done.
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
