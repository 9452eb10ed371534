package fleet

import (
	"cmp"
	"maps"
	"slices"
)

type changeKind int

const (
	changeLeaving changeKind = iota + 1
	changeReport
	changeUnlisted
	changeConfig
)

// change names what changed; its content is read from the view when a message
// is written, so that a later change of the same item replaces it.
type change struct {
	kind changeKind
	name string
}

type changeEntry struct {
	seq uint64
	// from is the router that the change was learnt from.
	from string
}

// changeLog numbers the changes that routers pass on.
type changeLog struct {
	seq     uint64
	entries map[change]changeEntry
}

func (l *changeLog) init() {
	l.entries = map[change]changeEntry{}
	l.seq = 1 // so that an acknowledgement of an empty log is not zero
}

func (l *changeLog) add(c change, from string) {
	l.seq++
	l.entries[c] = changeEntry{seq: l.seq, from: from}
}

func (l *changeLog) remove(c change) {
	delete(l.entries, c)
}

// after returns the changes above seq that were not learnt from the receiver,
// in the order of their numbers; all changes for a seq of zero.
func (l *changeLog) after(seq uint64, receiver string) []change {
	if seq >= l.seq {
		return nil
	}
	unsent := func(c change) bool {
		e := l.entries[c]
		// A receiver that has merged nothing may have lost what it sent.
		return e.seq > seq && (e.from != receiver || seq == 0)
	}
	var changes []change
	for c := range maps.Keys(l.entries) {
		if unsent(c) {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Compare(l.entries[a].seq, l.entries[b].seq)
	})
	return changes
}
