package requestkey

import "time"

// HandOver is a part of the records of a stopping router that goes to one successor.
type HandOver struct {
	// From is the router that stops.
	From Member
	// To is the name of the successor.
	To string
	// Revision is that of the list by which the sender found the successor of each key: the
	// owner of the key under that list if the sender is left out.
	Revision uint64
	Records  []Record
	// Earlier are the hand-overs of routers that stopped before, as far as the sender knows
	// them. The records that the sender received by them are handed over among its own.
	Earlier []HeldHandOver
	// Last is set in the last part, after which the successor has all of its records.
	Last bool
}

// HeldHandOver says that Holder has received, in a hand-over by From, the records of all keys
// whose successor it is under the list of Revision.
type HeldHandOver struct {
	From     Member
	Holder   Member
	Revision uint64
}

// Stop keeps the ledger from beginning further keys. It still answers claims and replays
// answers.
func (l *Ledger) Stop() {
	l.stopped = true
}

// Export stops the ledger and returns one HandOver with Last set for each other router of the
// newest list, or nil if no list is known. The caller may send a large HandOver in parts, the
// last part only when all others were accepted. Requests that are still in progress are
// handed over with Ran UNKNOWN. A further Export uses the same list, so that each key keeps
// its successor.
func (l *Ledger) Export(now time.Time) []HandOver {
	now = l.advance(now)
	l.Stop()
	if l.exported == nil {
		view, ok := l.history.newest()
		if !ok {
			return nil
		}
		l.exported = &view
	}
	view := *l.exported
	bySuccessor := map[string][]Record{}
	for id, e := range l.records.byID {
		successor, ok := ownerOf(view.Routers, id, l.self.Name)
		if !ok {
			continue
		}
		record := e.record(now)
		record.InProgress = false
		bySuccessor[successor.Name] = append(bySuccessor[successor.Name], record)
	}
	earlier := l.handOvers.list()
	var result []HandOver
	for _, m := range view.Routers {
		if m.Name == l.self.Name {
			continue
		}
		result = append(result, HandOver{
			From: l.self, To: m.Name, Revision: view.Revision,
			Records: bySuccessor[m.Name], Earlier: earlier, Last: true,
		})
	}
	return result
}

// Import takes in a part of the records of a stopping router. It returns false if it did not
// accept all of them, because memory is short or this router stops too. The sender must then
// send the part again or give it up.
func (l *Ledger) Import(now time.Time, h HandOver) bool {
	now = l.advance(now)
	if l.stopped {
		return false
	}
	for _, r := range h.Records {
		if !l.importRecord(now, r) {
			return false
		}
	}
	if h.Last {
		l.handOvers.add(HeldHandOver{From: h.From, Holder: l.self, Revision: h.Revision})
		for _, earlier := range h.Earlier {
			l.handOvers.add(earlier)
		}
	}
	return true
}

// importRecord stores the record of another router, unless it has expired or this router has
// a record of the key. It returns false if a memory bound is reached.
func (l *Ledger) importRecord(now time.Time, r Record) bool {
	if r.Remaining <= 0 || l.records.get(r.ID) != nil {
		return true
	}
	e := &entry{id: r.ID, digest: r.Digest, ran: r.Ran, expires: now.Add(r.Remaining)}
	if !l.records.add(e) {
		return false
	}
	l.records.setAnswer(e, r.Answer)
	return true
}

// record returns the entry as a Record whose Remaining counts from now.
func (e *entry) record(now time.Time) Record {
	return Record{
		ID: e.id, Digest: e.digest, Ran: e.ran, InProgress: e.inProgress,
		Answer: e.answer, Remaining: e.expires.Sub(now),
	}
}
