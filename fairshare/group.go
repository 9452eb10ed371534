package fairshare

import "container/heap"

// group is a set of workspaces that compete for the same capacity.
type group struct {
	name string
	// heap holds the backlogged accounts, the one with the least counter first.
	heap accountHeap
	// maxGrantStart is the greatest counter that an account of the group had just before
	// a grant.
	maxGrantStart uint64
	// backloggedShares is the sum of the shares of the accounts in heap.
	backloggedShares int64
	// configuredCount is the number of configured accounts of the group, backlogged or
	// not.
	configuredCount int
	// noCapacity is set while the group has no capacity of its own.
	noCapacity bool
}

func (g *group) push(a *account) {
	heap.Push(&g.heap, a)
	g.backloggedShares += a.share
}

func (g *group) remove(a *account) {
	heap.Remove(&g.heap, a.heapIndex)
	g.backloggedShares -= a.share
}

// fix restores the order of the heap after the counter of a has changed.
func (g *group) fix(a *account) {
	heap.Fix(&g.heap, a.heapIndex)
}

// least returns the backlogged account with the least counter, or nil if there is none.
func (g *group) least() *account {
	if len(g.heap) == 0 {
		return nil
	}
	return g.heap[0]
}

// accountHeap implements heap.Interface, ordered by precedes.
type accountHeap []*account

func (h accountHeap) Len() int           { return len(h) }
func (h accountHeap) Less(i, j int) bool { return precedes(h[i], h[j]) }

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends an account. Only container/heap calls it.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop removes the last account. Only container/heap calls it.
func (h *accountHeap) Pop() any {
	old := *h
	last := len(old) - 1
	a := old[last]
	old[last] = nil
	*h = old[:last]
	return a
}

// precedes reports whether a is served before b: its counter is lower, or the counters
// are equal and its workspace ID is lower. Either may be nil; nil comes last.
func precedes(a, b *account) bool {
	if a == nil || b == nil {
		return a != nil
	}
	counterA, counterB := a.counter(), b.counter()
	if counterA != counterB {
		return counterA < counterB
	}
	return a.id < b.id
}
