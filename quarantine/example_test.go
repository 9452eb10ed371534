package quarantine_test

import (
	"fmt"
	"time"

	"github.com/chiveseam/chiveseam/quarantine"
)

// A target is lost while it runs a request. The next run of the request has to be
// announced first.
func Example() {
	book := quarantine.New("router-1", quarantine.Options{Settle: time.Second})
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	const digest, target = 7, 42

	fmt.Println(book.Begin(now, digest).Action == quarantine.Run)
	book.Lost(now, digest, target)
	d := book.Begin(now, digest)
	fmt.Println(d.Action == quarantine.Wait, d.RetryAfter)
	now = now.Add(d.RetryAfter)
	fmt.Println(book.Begin(now, digest).Suspect)
	// Output:
	// true
	// true 1s
	// true
}
