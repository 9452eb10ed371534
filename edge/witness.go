package edge

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// witnessLinger is how long a witness is kept after the last answer that needed it.
	witnessLinger = defaultIdleLifetime
	// witnessAge is the age at which the connection of a witness is replaced, before its target closes it as idle, and
	// witnessCheck the interval at which the age is looked at.
	witnessAge   = 2 * time.Second
	witnessCheck = 250 * time.Millisecond
	// witnessRetryPause is the time between two connections that could not be opened or lasted shorter.
	witnessRetryPause = 500 * time.Millisecond
	// overlap is the time for which two connections must have been open together to belong to one process: the next
	// process at an address may accept connections before the last ones of a process that ends are closed.
	overlap = 5 * time.Millisecond
	// unframedMemory is how long a service is expected to answer without framing after it has done so.
	unframedMemory = 10 * time.Minute
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
	closed     bool
}

func newWitnesses(pool *connPool) *witnesses {
	return &witnesses{pool: pool, byAddress: make(map[string]*witness), unframedAt: make(map[string]time.Time)}
}

// witness is a connection to one address. It is replaced before the target closes it, and opened again when it has ended, as
// long as answers need it.
type witness struct {
	all     *witnesses
	address string
	// current is the open connection; nil if there is none. since is when the first of the connections was opened
	// that have replaced each other without a gap.
	current *witnessConn
	since   time.Time
	// answers holds the connections whose answers need the witness.
	answers map[*upstream]*witnessedAnswer
	// idleSince is when the last answer was detached.
	idleSince time.Time
}

// witnessedAnswer is the connection of one answer as its witness knows it.
type witnessedAnswer struct {
	// seen is when it was last seen open.
	seen time.Time
	// processEnded is set if the witness ended that was there when the answer was seen open.
	processEnded bool
}

// witnessConn is one connection of a witness.
type witnessConn struct {
	*upstream
	// ended receives why the connection has ended: io.EOF if the target has closed it.
	ended chan error
}

// attach keeps a witness for the answer on u until detach. u must have been open at seen.
func (ws *witnesses) attach(u *upstream, seen time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if u.witness != nil || ws.closed {
		return
	}
	w := ws.byAddress[u.address]
	if w == nil {
		w = &witness{all: ws, address: u.address, answers: make(map[*upstream]*witnessedAnswer)}
		ws.byAddress[u.address] = w
		go w.keep()
	}
	w.answers[u] = &witnessedAnswer{seen: seen}
	u.witness = w
}

// detach ends attach.
func (ws *witnesses) detach(u *upstream) {
	w := u.witness
	if w == nil {
		return
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	delete(w.answers, u)
	w.idleSince = time.Now()
	u.witness = nil
}

// see notes that the connection of an answer is open, if it is.
func (w *witness) see(u *upstream) {
	now := time.Now()
	if !isOpen(u) {
		return
	}
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if a := w.answers[u]; a != nil {
		a.seen = now
	}
}

// keep opens connections one after another until no answer needs them.
func (w *witness) keep() {
	for w.isNeeded() {
		began := time.Now()
		if c := w.open(); c != nil {
			w.hold(c)
		}
		// A process that ends may close the connections of its answers after the witness.
		time.Sleep(closeTime)
		if lasted := time.Since(began); lasted < witnessRetryPause {
			time.Sleep(witnessRetryPause - lasted)
		}
	}
}

// open opens a connection. It returns nil if there is none after overlap.
func (w *witness) open() *witnessConn {
	u, err := w.all.pool.dial(context.Background(), w.address)
	if err != nil {
		return nil
	}
	c := &witnessConn{upstream: u, ended: make(chan error, 1)}
	go func() {
		// Bytes that come without a request end the connection, too.
		_, err := u.Conn.Read(make([]byte, 1))
		u.Close()
		c.ended <- err
	}()
	select {
	case <-c.ended:
		return nil
	case <-time.After(overlap):
		return c
	}
}

// hold keeps a connection, and those that replace it, until one ends.
func (w *witness) hold(c *witnessConn) {
	if !w.begin(c) {
		c.Close()
		return
	}
	for {
		select {
		case err := <-c.ended:
			w.end(err)
			return
		case <-time.After(witnessCheck):
		}
		if time.Since(c.openedAt) < witnessAge {
			continue
		}
		next := w.open()
		if next == nil {
			continue
		}
		select {
		case err := <-c.ended:
			next.Close()
			w.end(err)
			return
		default:
			w.replace(next)
			c.Close()
			c = next
		}
	}
}

// isNeeded reports whether answers need the witness. If none does, the witness is removed.
func (w *witness) isNeeded() bool {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if len(w.answers) > 0 && !w.all.closed {
		return true
	}
	if w.all.byAddress[w.address] == w {
		delete(w.all.byAddress, w.address)
	}
	return false
}

// begin records the first connection after a gap, and which answers are open beside it. It returns false if the witness is
// not needed any more.
func (w *witness) begin(c *witnessConn) bool {
	w.all.mu.Lock()
	if w.all.closed {
		w.all.mu.Unlock()
		return false
	}
	w.current, w.since = c, c.openedAt
	answers := slices.Collect(maps.Keys(w.answers))
	w.all.mu.Unlock()
	for _, u := range answers {
		w.see(u)
	}
	return true
}

// replace records a connection that was open together with the one before it.
func (w *witness) replace(c *witnessConn) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.current = c
}

// end records that the connection has ended, and why. A target that is at its limit of connections resets it.
func (w *witness) end(err error) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.current = nil
	for _, a := range w.answers {
		if errors.Is(err, io.EOF) && w.precedes(a) {
			a.processEnded = true
		}
		a.seen = time.Time{}
	}
}

// precedes reports whether the witness was there when an answer was last seen open. w.all.mu is held.
func (w *witness) precedes(a *witnessedAnswer) bool { return !w.since.Add(overlap).After(a.seen) }

// sweep closes the connections of witnesses that no answer has needed for witnessLinger.
func (ws *witnesses) sweep(now time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for address, w := range ws.byAddress {
		if len(w.answers) == 0 && now.Sub(w.idleSince) >= witnessLinger {
			ws.remove(address)
		}
	}
	for service, at := range ws.unframedAt {
		if now.Sub(at) >= unframedMemory {
			delete(ws.unframedAt, service)
		}
	}
}

// remove removes a witness and closes its connection. ws.mu is held.
func (ws *witnesses) remove(address string) {
	if c := ws.byAddress[address].current; c != nil {
		c.Close()
	}
	delete(ws.byAddress, address)
}

// close closes the connections of all witnesses. No others are opened after that.
func (ws *witnesses) close() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.closed = true
	for address := range ws.byAddress {
		ws.remove(address)
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

// witnessState is what a witness shows of the process that has closed the connection of an answer.
type witnessState int

const (
	// witnessNone: there was no witness while the answer was seen open, or it was reset.
	witnessNone witnessState = iota
	// witnessOpen: one that was there is still open.
	witnessOpen
	// witnessEnded: one that was there has ended, too.
	witnessEnded
)

// state returns what the witness shows of the process that has closed u.
func (ws *witnesses) state(u *upstream) witnessState {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := u.witness
	if w == nil {
		return witnessNone
	}
	a := w.answers[u]
	switch {
	case a.processEnded:
		return witnessEnded
	case w.current == nil || !w.precedes(a):
		return witnessNone
	case isOpen(w.current.upstream):
		return witnessOpen
	}
	return witnessEnded
}

// isOpen reports whether the peer of a connection has neither closed nor reset it. Unlike a read that does not take what has
// come, the question does not take the error of a reset from the next read.
func isOpen(u *upstream) bool {
	revents, err := pollSocket(u.Conn, unix.POLLIN|unix.POLLRDHUP)
	return err == nil && revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) == 0
}
