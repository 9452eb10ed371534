package breaker_test

import (
	"fmt"
	"time"

	"github.com/chiveseam/chiveseam/breaker"
)

// Three consecutive failures open the breaker. After the delay it admits one probe,
// and the probe's success closes it.
func Example() {
	b := breaker.New(breaker.Options{Threshold: 3, BaseDelay: time.Second})
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	for range 3 {
		b.Admit(now)
		b.Failure(now)
	}
	fmt.Println(b.Ready(now))

	retryAt, _ := b.RetryAt(now)
	fmt.Println(retryAt.Sub(now) <= time.Second, b.Ready(retryAt))
	b.Admit(retryAt)
	fmt.Println(b.Ready(retryAt))
	b.Success(retryAt)
	fmt.Println(b.State(retryAt) == breaker.Closed)
	// Output:
	// false
	// true true
	// false
	// true
}
