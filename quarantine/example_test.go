package quarantine_test

import (
	"fmt"
	"time"

	"github.com/chiveseam/chiveseam/quarantine"
)

// A target is lost while it runs a request. The next run of the request has to be
// announced first.
func Example() {
	tracker := quarantine.New("router-1", quarantine.Options{AnnouncePeriod: time.Second})
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	const digest, target = 7, 42

	fmt.Println(tracker.Begin(now, digest).Action == quarantine.Run)
	tracker.Lost(now, digest, target)
	d := tracker.Begin(now, digest)
	fmt.Println(d.Action == quarantine.Wait, d.RetryAfter)
	now = now.Add(d.RetryAfter)
	fmt.Println(tracker.Begin(now, digest).Suspect)
	// Output:
	// true
	// true 1s
	// true
}
