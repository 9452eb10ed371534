package placement

import (
	"container/list"
	"slices"
	"time"
)

// holders maps the ID of each prompt part to the targets that have it in their KV cache.
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

// partCache models the KV cache of one target: the prompt parts that it is assumed to hold
// from earlier requests. Parts that were used least recently are evicted first.
type partCache struct {
	target *target
	// holders is the map of the target's service. It includes the parts of this cache.
	holders holders
	// capacity and tokens are the capacity and the current content in tokens.
	capacity int
	tokens   int
	// lru holds a *cachedPart for each part, the most recently used first. byID holds its
	// elements by part ID.
	lru  *list.List
	byID map[uint64]*list.Element
	// memory is the model of the engine's memory; nil if parts are kept up to capacity.
	memory *memory
}

// cachedPart is a prompt part in a partCache.
type cachedPart struct {
	id     uint64
	tokens int
	// reportedAt is when any router last reported a use of the part to the others, and
	// reportedHere is set if it was this router.
	reportedAt   time.Time
	reportedHere bool

	// The following are used by memory only. users is the number of this router's running requests
	// that hold the part, and last is set if it is the last part of a prompt.
	users int
	last  bool
	// usedAt is the time of its last use, and unseenAtUse the value of memory.unseen then. uses is the
	// decayed number of its uses as of usedAt.
	usedAt      time.Time
	unseenAtUse float64
	uses        float64
}

func newPartCache(t *target, h holders, capacity int) *partCache {
	return &partCache{target: t, holders: h, capacity: capacity, lru: list.New(), byID: make(map[uint64]*list.Element)}
}

// clear removes all parts.
func (k *partCache) clear() {
	for k.lru.Len() > 0 {
		k.remove(k.lru.Back())
	}
}

// use adds a part that the target processes, or marks it as most recently used, and evicts
// parts above the capacity. It always keeps the part itself.
func (k *partCache) use(now time.Time, p Part) *cachedPart {
	if e, ok := k.byID[p.ID]; ok {
		k.lru.MoveToFront(e)
		part := e.Value.(*cachedPart)
		if k.memory != nil {
			k.memory.touch(now, part)
		}
		return part
	}
	part := &cachedPart{id: p.ID, tokens: p.Tokens}
	k.byID[p.ID] = k.lru.PushFront(part)
	k.holders.add(p.ID, k.target)
	k.tokens += p.Tokens
	if k.lru.Len() > maxCachedParts {
		k.remove(k.lru.Back())
	}
	if k.memory != nil {
		k.memory.touch(now, part)
		k.memory.evict()
		return part
	}
	for k.tokens > k.capacity && k.lru.Len() > 1 {
		k.remove(k.lru.Back())
	}
	return part
}

// maxCachedParts bounds the parts of one target: parts of few tokens, or of none, would not be bounded by its capacity.
const maxCachedParts = 4096

func (k *partCache) remove(e *list.Element) {
	part := e.Value.(*cachedPart)
	k.lru.Remove(e)
	delete(k.byID, part.id)
	k.holders.remove(part.id, k.target)
	k.tokens -= part.tokens
	if k.memory != nil && part.users > 0 {
		k.memory.pinned -= part.tokens
		part.users = 0
	}
}

func (k *partCache) has(id uint64) bool {
	_, ok := k.byID[id]
	return ok
}

// prefix returns the number of tokens of the leading parts that are in the cache. Engines can
// reuse a part only if they have all parts before it too.
func (k *partCache) prefix(parts []Part) int {
	total := 0
	for _, p := range parts {
		if !k.has(p.ID) {
			break
		}
		total += p.Tokens
	}
	return total
}
