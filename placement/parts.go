package placement

import (
	"container/list"
	"slices"
	"time"
)

// holders names the targets that keep each part.
type holders map[uint64][]*target

func (h holders) add(id uint64, t *target) { h[id] = append(h[id], t) }

func (h holders) remove(id uint64, t *target) {
	list := slices.DeleteFunc(h[id], func(other *target) bool { return other == t })
	if len(list) == 0 {
		delete(h, id)
		return
	}
	h[id] = list
}

// keptParts is what one target is believed to keep of prompts, the least recently
// used part last.
type keptParts struct {
	target   *target
	holders  holders
	capacity int
	tokens   int
	order    *list.List
	byID     map[uint64]*list.Element
}

type keptPart struct {
	id     uint64
	tokens int
	// told is when the routers last told each other of a use, and mine is set if it
	// was this one.
	told time.Time
	mine bool
}

func newKeptParts(t *target, h holders, capacity int) *keptParts {
	return &keptParts{target: t, holders: h, capacity: capacity, order: list.New(), byID: make(map[uint64]*list.Element)}
}

// clear forgets all parts.
func (k *keptParts) clear() {
	for k.order.Len() > 0 {
		k.drop(k.order.Back())
	}
}

// use records that the target reads or has read a part.
func (k *keptParts) use(p Part) *keptPart {
	if e, ok := k.byID[p.ID]; ok {
		k.order.MoveToFront(e)
		return e.Value.(*keptPart)
	}
	part := &keptPart{id: p.ID, tokens: p.Tokens}
	k.byID[p.ID] = k.order.PushFront(part)
	k.holders.add(p.ID, k.target)
	k.tokens += p.Tokens
	for k.tokens > k.capacity && k.order.Len() > 1 {
		k.drop(k.order.Back())
	}
	return part
}

func (k *keptParts) drop(e *list.Element) {
	part := e.Value.(*keptPart)
	k.order.Remove(e)
	delete(k.byID, part.id)
	k.holders.remove(part.id, k.target)
	k.tokens -= part.tokens
}

func (k *keptParts) has(id uint64) bool {
	_, ok := k.byID[id]
	return ok
}

// prefix returns the tokens of the leading parts that the target keeps. A part is
// of use only if all before it are kept.
func (k *keptParts) prefix(parts []Part) int {
	total := 0
	for _, p := range parts {
		if !k.has(p.ID) {
			break
		}
		total += p.Tokens
	}
	return total
}
