package requestkey

import "time"

// HandOver is the part of a stopping router's ledger that goes to one
// successor.
type HandOver struct {
	From Member
	// To is the name of the successor.
	To string
	// Revision is the list by which the successors of keys were found: the
	// owners under it with the sender left out.
	Revision uint64
	Records  []Record
	// Earlier are the hand-overs that the sender knows of; their records are
	// among Records.
	Earlier []HeldHandOver
	// Last is set when the successor has all of its records.
	Last bool
}

// HeldHandOver says that Holder has the part of From's ledger of which it is
// the successor under Revision.
type HeldHandOver struct {
	From     Member
	Holder   Member
	Revision uint64
}

// Stop makes the ledger begin no further key. It goes on answering claims and
// replaying answers.
func (l *Ledger) Stop() {
	l.stopped = true
}

// Export stops the ledger and returns one HandOver with Last set for each
// other router of the newest list. The caller sends the HandOver in parts if
// it is large, the last part only when all others were accepted. Requests
// that are still in progress are handed over with Ran UNKNOWN. A further Export
// has the same successors.
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

// Import takes in a part of a stopping router's ledger. It reports whether
// all records were accepted; if not, memory is short or this router stops too,
// and the part must be sent again or given up.
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

// importRecord stores another router's record unless the key is known.
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

func (e *entry) record(now time.Time) Record {
	return Record{
		ID: e.id, Digest: e.digest, Ran: e.ran, InProgress: e.inProgress,
		Answer: e.answer, Remaining: e.expires.Sub(now),
	}
}
