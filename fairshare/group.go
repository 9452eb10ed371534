package fairshare

import "container/heap"

// group holds the backlogged accounts that compete for the same capacity.
type group struct {
	name string
	heap accountHeap
	// start is the greatest counter from which a grant started.
	start uint64
	// shares is the sum of the shares of the backlogged accounts.
	shares int64
	// configured counts the configured accounts.
	configured int
	// unserved is set while the group has no capacity of its own.
	unserved bool
}

func (g *group) push(a *account) {
	heap.Push(&g.heap, a)
	g.shares += a.share
}

func (g *group) remove(a *account) {
	heap.Remove(&g.heap, a.pos)
	g.shares -= a.share
}

func (g *group) fix(a *account) {
	heap.Fix(&g.heap, a.pos)
}

// least returns the account with the least counter, or nil.
func (g *group) least() *account {
	if len(g.heap) == 0 {
		return nil
	}
	return g.heap[0]
}

// accountHeap is a heap by key, then by workspace.
type accountHeap []*account

func (h accountHeap) Len() int           { return len(h) }
func (h accountHeap) Less(i, j int) bool { return before(h[i], h[j]) }

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos = i
	h[j].pos = j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.pos = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	last := len(old) - 1
	a := old[last]
	old[last] = nil
	*h = old[:last]
	return a
}

// before tells whether a is served before b. Either may be nil.
func before(a, b *account) bool {
	if a == nil || b == nil {
		return a != nil
	}
	ka, kb := a.key(), b.key()
	if ka != kb {
		return ka < kb
	}
	return a.id < b.id
}
