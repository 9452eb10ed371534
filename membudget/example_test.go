package membudget_test

import (
	"fmt"

	"github.com/chiveseam/chiveseam/membudget"
)

func Example() {
	b := membudget.New(100)
	endless, sound := b.Open("target-1", "answer 1"), b.Open("target-2", "answer 2")
	endless.Grow(90)
	revoked, ok := sound.Grow(20)
	fmt.Println(ok, revoked[0].Owner, b.Used())
	// Output: true answer 1 20
}
