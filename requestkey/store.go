package requestkey

import (
	"container/heap"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// entryOverheadBytes is the memory of an entry besides its strings and its answer.
const entryOverheadBytes = 384

// entry is what the ledger keeps of a begun key.
type entry struct {
	id         ID
	digest     Digest
	ran        v1.Ran
	inProgress bool
	answer     *Answer
	expires    time.Time
	// index is the position in expiryQueue.
	index int
}

func (e *entry) bytes() int {
	return entryOverheadBytes + len(e.id.Workspace) + len(e.id.Key) + e.answer.bytes()
}

// store holds entries by ID and by time of expiry, within the bounds of Options.
type store struct {
	opts  Options
	byID  map[ID]*entry
	queue expiryQueue
	// bytes is the memory of all entries.
	bytes int
}

func newStore(opts Options) store {
	return store{opts: opts, byID: map[ID]*entry{}}
}

func (s *store) get(id ID) *entry {
	return s.byID[id]
}

// add stores a new entry. It returns false if a bound of Options is reached.
func (s *store) add(e *entry) bool {
	if len(s.byID) >= s.opts.MaxRecords || s.bytes+e.bytes() > s.opts.MaxBytes {
		return false
	}
	s.byID[e.id] = e
	s.bytes += e.bytes()
	heap.Push(&s.queue, e)
	return true
}

// setAnswer keeps the answer of an entry for replay if it fits within the bounds of Options.
func (s *store) setAnswer(e *entry, answer *Answer) {
	n := answer.bytes()
	if n > s.opts.MaxAnswerBytes || s.bytes+n > s.opts.MaxBytes {
		return
	}
	e.answer = answer
	s.bytes += n
}

func (s *store) remove(e *entry) {
	delete(s.byID, e.id)
	s.bytes -= e.bytes()
	heap.Remove(&s.queue, e.index)
}

func (s *store) expire(now time.Time) {
	for len(s.queue) > 0 && !now.Before(s.queue[0].expires) {
		s.remove(s.queue[0])
	}
}

// expiryQueue is a heap of entries with the earliest time of expiry on top.
type expiryQueue []*entry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].expires.Before(q[j].expires) }

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *expiryQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

func (q *expiryQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*q = old[:last]
	return e
}
