package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// changeKind is the kind of item that changed.
type changeKind int

const (
	changeLeaving changeKind = iota + 1
	changeReport
	changeUnlisted
	changeConfig
)

// change identifies an item that changed, not its content. The content is read from the view
// when a message is built, so a later change of the same item replaces an earlier one. name is
// empty for changeConfig, else the name of the instance or of the reporting router.
type change struct {
	kind changeKind
	name string
}

// changeEntry is the state of a change in the changeLog.
type changeEntry struct {
	seq uint64
	// from is the router whose message brought the change; empty for a change from elsewhere.
	from string
}

// changeLog assigns sequence numbers to the changes that the router passes on.
type changeLog struct {
	seq     uint64
	entries map[change]changeEntry
}

func (l *changeLog) init() {
	l.entries = map[change]changeEntry{}
	l.seq = 1 // an acknowledgement of zero means that nothing was merged
}

// add assigns the next sequence number to a change. from is the router whose message brought
// it, or empty.
func (l *changeLog) add(c change, from string) {
	l.seq++
	l.entries[c] = changeEntry{seq: l.seq, from: from}
}

// remove drops a change whose item no longer exists, so that it is not sent any more.
func (l *changeLog) remove(c change) {
	delete(l.entries, c)
}

// unacknowledged returns the changes to send to a receiver that has merged all up to seq, in
// the order of their sequence numbers. Changes that the receiver sent itself are left out,
// unless seq is zero.
func (l *changeLog) unacknowledged(seq uint64, receiver string) []change {
	if seq >= l.seq {
		return nil
	}
	include := func(c change) bool {
		e := l.entries[c]
		// A receiver that has merged nothing may have restarted and lost what it sent.
		return e.seq > seq && (e.from != receiver || seq == 0)
	}
	var changes []change
	for c := range maps.Keys(l.entries) {
		if include(c) {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Compare(l.entries[a].seq, l.entries[b].seq)
	})
	return changes
}
