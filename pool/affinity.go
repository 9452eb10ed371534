package pool

import (
	"container/list"

	"github.com/chiveseam/chiveseam/config"
)

// affinityTargets is the number of targets that are remembered for each prompt
// prefix.
const affinityTargets = 4

// affinity is an LRU cache from prompt prefixes to the targets that served them last.
type affinity struct {
	limit   int
	entries map[uint32]*list.Element
	lru     *list.List
}

// affinityEntry holds the targets that served a prefix, the most recent first. Unused
// places are zero.
type affinityEntry struct {
	prefix  uint32
	targets [affinityTargets]config.ID
}

func newAffinity(limit int) *affinity {
	return &affinity{
		limit:   limit,
		entries: map[uint32]*list.Element{},
		lru:     list.New(),
	}
}

// record notes that target serves a demand with the prefix. A zero prefix is ignored.
func (a *affinity) record(prefix uint32, target config.ID) {
	if prefix == 0 {
		return
	}
	element := a.entries[prefix]
	if element == nil {
		element = a.lru.PushFront(&affinityEntry{prefix: prefix})
		a.entries[prefix] = element
		a.evict()
	}
	a.lru.MoveToFront(element)
	element.Value.(*affinityEntry).add(target)
}

func (a *affinity) evict() {
	if a.lru.Len() <= a.limit {
		return
	}
	oldest := a.lru.Remove(a.lru.Back()).(*affinityEntry)
	delete(a.entries, oldest.prefix)
}

// lookup returns the entry of prefix, or nil.
func (a *affinity) lookup(prefix uint32) *affinityEntry {
	element := a.entries[prefix]
	if element == nil {
		return nil
	}
	return element.Value.(*affinityEntry)
}

// add puts target first and drops its earlier place or, if it has none, the last
// target.
func (e *affinityEntry) add(target config.ID) {
	previous := target
	for i := range e.targets {
		e.targets[i], previous = previous, e.targets[i]
		if previous == target {
			return
		}
	}
}

func (e *affinityEntry) has(target config.ID) bool {
	if e == nil {
		return false
	}
	for _, id := range e.targets {
		if id == target {
			return true
		}
	}
	return false
}
