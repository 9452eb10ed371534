package linkbudget_test

import (
	"fmt"
	"time"

	"github.com/chiveseam/chiveseam/linkbudget"
)

// A link of 10 Mbit/s has room for a request, but not for a second one of 500 kB at the same time.
func Example() {
	budget, now := linkbudget.New(10), time.Unix(1000, 0)
	for range 2 {
		budget.AddRequest(now, "shop", 500e3)
		_, ok := budget.Admit(now, "shop", linkbudget.Bytes{In: 2e3, Out: 500e3})
		fmt.Println(ok)
	}
	// Output:
	// true
	// false
}
