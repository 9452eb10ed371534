package placement

import (
	"container/list"
	"time"
)

// keptParts is what one target is believed to keep of prompts, the least recently
// used part last.
type keptParts struct {
	capacity int
	tokens   int
	order    *list.List
	byID     map[uint64]*list.Element
}

type keptPart struct {
	id     uint64
	tokens int
	used   time.Time
}

func newKeptParts(capacity int) *keptParts {
	return &keptParts{capacity: capacity, order: list.New(), byID: make(map[uint64]*list.Element)}
}

// use records that the target reads or has read a part.
func (k *keptParts) use(now time.Time, p Part) {
	if e, ok := k.byID[p.ID]; ok {
		e.Value.(*keptPart).used = now
		k.order.MoveToFront(e)
		return
	}
	k.byID[p.ID] = k.order.PushFront(&keptPart{id: p.ID, tokens: p.Tokens, used: now})
	k.tokens += p.Tokens
	for k.tokens > k.capacity && k.order.Len() > 1 {
		k.drop(k.order.Back())
	}
}

func (k *keptParts) drop(e *list.Element) {
	part := e.Value.(*keptPart)
	k.order.Remove(e)
	delete(k.byID, part.id)
	k.tokens -= part.tokens
}

func (k *keptParts) has(id uint64) bool {
	_, ok := k.byID[id]
	return ok
}

// missing returns the tokens of parts that the target has to read. A part is kept
// only if all before it are.
func (k *keptParts) missing(parts []Part) int {
	total := 0
	kept := true
	for _, p := range parts {
		kept = kept && k.has(p.ID)
		if !kept {
			total += p.Tokens
		}
	}
	return total
}
