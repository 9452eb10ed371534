package fleet_test

import (
	"testing"
	"time"
)

// BenchmarkStep measures one Tick and one DueContacts of one router among 330.
func BenchmarkStep(b *testing.B) {
	n := newNetwork(330, 1)
	n.run(3 * time.Second)
	v := n.views["router-7"]
	b.ReportAllocs()
	for b.Loop() {
		v.Tick(n.now)
		v.DueContacts(n.now)
	}
}

// BenchmarkExchange measures building and merging one message that carries no changes.
func BenchmarkExchange(b *testing.B) {
	n := newNetwork(330, 1)
	n.run(3 * time.Second)
	from, to := n.views["router-7"], n.views["router-8"]
	b.ReportAllocs()
	for b.Loop() {
		to.Merge(n.now, from.StateFor("router-8"))
	}
}
