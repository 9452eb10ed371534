package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// witnessLinger is how long a witness is kept after the last answer that needed it.
	witnessLinger = defaultIdleLifetime
	// maxWitnessWait limits the time for which a request waits until its witness is open.
	maxWitnessWait = 50 * time.Millisecond
	// witnessRetryPause is the time after a witness could not be opened, or lasted for less than that.
	witnessRetryPause = 500 * time.Millisecond
	// overlap is the time for which a witness and an answer's connection must have been open together: the next process
	// at the address may accept connections before the last ones of a process that ends are closed.
	overlap = 5 * time.Millisecond
	// unframedMemory is how long a service is expected to answer without framing after it has done so.
	unframedMemory = time.Minute
)

// witnesses keeps one connection without requests to each target that answers without framing. All connections of a process
// end with it, so one that was opened before an answer ended, and is open after that, shows that the process did not end.
// It is safe for concurrent use.
type witnesses struct {
	pool *connPool

	// mu guards the fields below and those of each witness.
	mu sync.Mutex
	// byAddress holds the witnesses by the addresses of their targets.
	byAddress map[string]*witness
	// unframedAt is when each service last answered without framing.
	unframedAt map[string]time.Time
}

func newWitnesses(pool *connPool) *witnesses {
	return &witnesses{pool: pool, byAddress: make(map[string]*witness), unframedAt: make(map[string]time.Time)}
}

// witness is the connection to one address. As long as answers need it, it is opened again whenever it has ended.
type witness struct {
	all     *witnesses
	address string
	// current is the open connection, or the last one that was.
	current witnessConn
	// previous is the one before it.
	previous witnessConn
	// tried is closed once the first connection is open or has failed.
	tried chan struct{}
	// answers holds the connections whose answers need the witness, and when each of them was last seen open.
	answers map[*upstream]time.Time
	// idleSince is when the last answer was detached.
	idleSince time.Time
}

// witnessConn is one connection of a witness. The zero value stands for none.
type witnessConn struct {
	conn     *upstream
	openedAt time.Time
	// endedAt is zero while the connection is open.
	endedAt time.Time
}

// precedes reports whether the connection was opened at least overlap before an answer was last seen open.
func (c witnessConn) precedes(seen time.Time) bool {
	return c.conn != nil && !c.openedAt.Add(overlap).After(seen)
}

// isOpen reports whether the connection is open and, unlike a connection whose end has not been read yet, has received nothing.
func (c witnessConn) isOpen() bool { return c.endedAt.IsZero() && openWithoutInput(c.conn.Conn) }

// attach keeps a witness for the answer on u until detach. u must have been open at seen.
func (ws *witnesses) attach(u *upstream, seen time.Time) *witness {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if u.witness != nil {
		return u.witness
	}
	w := ws.byAddress[u.address]
	if w == nil {
		w = &witness{all: ws, address: u.address, tried: make(chan struct{}), answers: make(map[*upstream]time.Time)}
		ws.byAddress[u.address] = w
		go w.keep()
	}
	w.answers[u] = seen
	u.witness = w
	return w
}

// attachNow is attach for a connection that has not got its request yet. It waits until the witness is open, for maxWitnessWait at
// the longest.
func (ws *witnesses) attachNow(u *upstream) {
	w := ws.attach(u, time.Now())
	select {
	case <-w.tried:
	case <-time.After(maxWitnessWait):
	}
	w.see(u)
}

// detach ends attach.
func (ws *witnesses) detach(u *upstream) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w := u.witness; w != nil {
		delete(w.answers, u)
		w.idleSince = time.Now()
		u.witness = nil
	}
}

// see notes that the connection of an answer is open, if it is and has received nothing.
func (w *witness) see(u *upstream) {
	now := time.Now()
	if !openWithoutInput(u.Conn) {
		return
	}
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if _, attached := w.answers[u]; attached {
		w.answers[u] = now
	}
}

// keep opens the connection, and opens it again when it has ended, until no answer needs it.
func (w *witness) keep() {
	first := true
	for w.isNeeded() {
		began := time.Now()
		u, err := w.all.pool.dial(context.Background(), w.address)
		if err == nil {
			w.setOpen(u)
		}
		if first {
			close(w.tried)
			first = false
		}
		if err == nil {
			// Bytes that come without a request end the witness, too: what follows them cannot be seen without reading them.
			_, _ = u.Conn.Read(make([]byte, 1))
			w.setEnded()
			u.Close()
		}
		// A process that ends may close the connections of its answers after the witness.
		time.Sleep(closeTime)
		if time.Since(began) < witnessRetryPause {
			time.Sleep(witnessRetryPause)
		}
	}
}

// isNeeded reports whether answers need the witness. If none does, the witness is removed.
func (w *witness) isNeeded() bool {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if len(w.answers) > 0 {
		return true
	}
	if w.all.byAddress[w.address] == w {
		delete(w.all.byAddress, w.address)
	}
	return false
}

// setOpen records a new connection, and after overlap which answers are still open.
func (w *witness) setOpen(u *upstream) {
	w.all.mu.Lock()
	w.previous, w.current = w.current, witnessConn{conn: u, openedAt: u.openedAt}
	w.all.mu.Unlock()
	time.Sleep(overlap)
	w.all.mu.Lock()
	answers := slices.Collect(maps.Keys(w.answers))
	w.all.mu.Unlock()
	for _, a := range answers {
		w.see(a)
	}
}

func (w *witness) setEnded() {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.current.endedAt = time.Now()
}

// sweep closes the connections of witnesses that no answer has needed for witnessLinger.
func (ws *witnesses) sweep(now time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for address, w := range ws.byAddress {
		if len(w.answers) == 0 && now.Sub(w.idleSince) >= witnessLinger {
			delete(ws.byAddress, address)
			if w.current.conn != nil {
				w.current.conn.Close()
			}
		}
	}
	for service, at := range ws.unframedAt {
		if now.Sub(at) >= unframedMemory {
			delete(ws.unframedAt, service)
		}
	}
}

// noteUnframed records that a service has answered without framing.
func (ws *witnesses) noteUnframed(service string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.unframedAt[service] = time.Now()
}

// expectsUnframed reports whether a service has answered without framing within unframedMemory.
func (ws *witnesses) expectsUnframed(service string) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	_, ok := ws.unframedAt[service]
	return ok
}

// testimony is what other connections to a target show of the process that has closed the connection of an answer.
type testimony int

const (
	// testimonyNone: there was no other connection, or some are open and some have ended.
	testimonyNone testimony = iota
	// testimonyOpen: those that were there before are open.
	testimonyOpen
	// testimonyEnded: those that were there before have ended, too.
	testimonyEnded
)

// testimonyOn returns what the witness and the idle connections show of the process that has closed u.
func (ws *witnesses) testimonyOn(u *upstream) testimony {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := u.witness
	if w == nil {
		return testimonyNone
	}
	seen := w.answers[u]
	open, ended := ws.pool.openedBefore(u.address, seen.Add(-overlap))
	for _, c := range []witnessConn{w.current, w.previous} {
		switch {
		case !c.precedes(seen):
		case c.isOpen():
			open = true
		case c.endedAt.IsZero() || c.endedAt.After(seen.Add(-closeTime)):
			ended = true
		}
	}
	switch {
	case open == ended:
		return testimonyNone
	case open:
		return testimonyOpen
	}
	return testimonyEnded
}
