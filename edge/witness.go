package edge

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// witnessLinger is how long a witness is kept after the last answer that needed it.
	witnessLinger = defaultIdleLifetime
	// witnessAge is the age at which the connection of a witness is replaced, before its target closes it as idle. It is half of
	// the time after which the target is known to do that if that is less, and minWitnessAge at least. At a target that leaves it is
	// leavingWitnessAge, to see whether that has closed its listener.
	witnessAge        = 2 * time.Second
	minWitnessAge     = 100 * time.Millisecond
	leavingWitnessAge = 200 * time.Millisecond
	// witnessCheck is the longest time between two checks of the age.
	witnessCheck = 250 * time.Millisecond
	// witnessRetryPause is the time between two connections that could not be opened or lasted shorter.
	witnessRetryPause = 500 * time.Millisecond
	// overlap is the time for which two connections must have been open together to belong to one process: the next
	// process at an address may accept connections before the last ones of a process that ends are closed.
	overlap = 5 * time.Millisecond
	// unframedMemory is how long a service is expected to answer without framing after it has done so, and the idle time of a
	// target is remembered.
	unframedMemory = 10 * time.Minute
	// idleTimeTolerance is the fraction by which the ages may vary at which a target closes connections as idle.
	idleTimeTolerance = 0.25
)

// witnesses keeps one connection without requests to each target that answers without framing. All connections of a process
// end with it, at one time, and so does its listener. So a connection that was opened before an answer ended, and is open after
// that, shows that the process did not end; and what ended before the answer did, which went on, has not ended with the process: a
// target closes connections as idle, and one that leaves closes them and its listener before it ends its last answers.
// It is safe for concurrent use.
type witnesses struct {
	pool *connPool

	// mu guards the fields below and those of each witness.
	mu sync.Mutex
	// byAddress holds the witnesses by the addresses of their targets.
	byAddress map[string]*witness
	// unframedAt is when each service last answered without framing.
	unframedAt map[string]time.Time
	// idleTimes holds, by address, what is known of the times after which targets close connections as idle.
	idleTimes map[string]idleTime
	closed    bool
}

// idleTime is the time after which a target closes a connection as idle, and when that was last seen.
type idleTime struct {
	after  time.Duration
	seenAt time.Time
}

func newWitnesses(pool *connPool) *witnesses {
	return &witnesses{pool: pool, byAddress: make(map[string]*witness), unframedAt: make(map[string]time.Time), idleTimes: make(map[string]idleTime)}
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
	// lastAge is the age at which the target last closed a connection.
	lastAge time.Duration
	// reviewing is set while review runs.
	reviewing bool
}

// witnessedAnswer is the connection of one answer as its witness knows it.
type witnessedAnswer struct {
	// leaves reports whether the target is known to leave.
	leaves func() bool
	// seen is when it was last seen open.
	seen time.Time
	// ended is set if the witness ended that was there when the answer was seen open, at the age endedAge, and the answer
	// has not gone on since. doubted is set if its target may not have closed it as idle.
	ended, doubted bool
	endedAge       time.Duration
	// refused is set if the address refused a connection, and the answer has not gone on since.
	refused bool
	// outlived is set once the answer has gone on after ended, and outlivedListener after refused.
	outlived, outlivedListener bool
	// review is what the checks since then have found.
	review answerReview
}

// witnessConn is one connection of a witness.
type witnessConn struct {
	*upstream
	ended chan witnessEnd
}

// witnessEnd is the end of a connection: why, io.EOF if the target has closed it, and at what age.
type witnessEnd struct {
	err error
	age time.Duration
}

// attach keeps a witness for the answer on u until detach. u must have been open at seen. leaves reports whether the target is
// known to leave; the caller must not hold a lock that it takes.
func (ws *witnesses) attach(u *upstream, seen time.Time, leaves func() bool) {
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
	w.answers[u] = &witnessedAnswer{seen: seen, leaves: leaves}
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
		if lasted := time.Since(began); lasted < minWitnessAge {
			time.Sleep(witnessRetryPause - lasted)
		}
	}
}

// open opens a connection. It returns nil if there is none after overlap.
func (w *witness) open() *witnessConn {
	u, err := w.all.pool.dial(context.Background(), w.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		w.noteRefused()
	}
	if err != nil {
		return nil
	}
	c := &witnessConn{upstream: u, ended: make(chan witnessEnd, 1)}
	go func() {
		// Bytes that come without a request end the connection, too.
		_, err := u.Conn.Read(make([]byte, 1))
		age := time.Since(u.openedAt)
		u.Close()
		c.ended <- witnessEnd{err, age}
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
		age := w.replaceAge()
		select {
		case end := <-c.ended:
			w.end(end)
			return
		case <-time.After(min(age/2, witnessCheck)):
		}
		if time.Since(c.openedAt) < age {
			continue
		}
		next := w.open()
		if next == nil {
			continue
		}
		select {
		case end := <-c.ended:
			next.Close()
			w.end(end)
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

// replaceAge returns the age at which the connection is replaced.
func (w *witness) replaceAge() time.Duration {
	w.all.mu.Lock()
	age := witnessAge
	if known, ok := w.all.idleTimes[w.address]; ok {
		age = max(min(known.after/2, age), minWitnessAge)
	}
	var leaving []func() bool
	for _, a := range w.answers {
		leaving = append(leaving, a.leaves)
	}
	w.all.mu.Unlock()
	if slices.ContainsFunc(leaving, func(leaves func() bool) bool { return leaves() }) {
		return min(age, leavingWitnessAge)
	}
	return age
}

// end records the end of the connection. A target that is at its limit of connections resets it.
func (w *witness) end(end witnessEnd) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.current = nil
	if !errors.Is(end.err, io.EOF) {
		return
	}
	idle := w.all.closesAsIdle(w.address, end.age)
	if !idle && isAbout(end.age, w.lastAge) {
		w.all.noteIdleTime(w.address, end.age)
	}
	w.lastAge = end.age
	for _, a := range w.answers {
		if w.precedes(a) {
			a.ended, a.endedAge, a.doubted, a.review = true, end.age, a.doubted || !idle, answerReview{}
		}
	}
	w.beginReview()
}

// noteRefused records that the address refuses connections.
func (w *witness) noteRefused() {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	for _, a := range w.answers {
		if !a.outlivedListener && !a.refused {
			a.refused, a.review = true, answerReview{}
		}
	}
	w.beginReview()
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
	for address, known := range ws.idleTimes {
		if now.Sub(known.seenAt) >= unframedMemory {
			delete(ws.idleTimes, address)
		}
	}
}

// noteIdleTime records the age at which a target has closed a connection as idle. ws.mu is held.
func (ws *witnesses) noteIdleTime(address string, age time.Duration) {
	if known, ok := ws.idleTimes[address]; ok {
		age = min(age, known.after)
	}
	ws.idleTimes[address] = idleTime{age, time.Now()}
}

// closesAsIdle reports whether a target is known to close connections of an age as idle. ws.mu is held.
func (ws *witnesses) closesAsIdle(address string, age time.Duration) bool {
	known, ok := ws.idleTimes[address]
	return ok && (age >= known.after || isAbout(age, known.after))
}

// isAbout reports whether two ages at which a target has closed connections differ by idleTimeTolerance at most.
func isAbout(age, other time.Duration) bool {
	return (age - other).Abs() <= time.Duration(idleTimeTolerance*float64(other))
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
	// witnessNone: there was no witness while the answer was seen open, or it says nothing.
	witnessNone witnessState = iota
	// witnessOpen: a connection that was there is still open.
	witnessOpen
	// witnessEnded: one that was there has ended with the answer.
	witnessEnded
	// witnessDisputed: one has ended and another one is open, or its end is late.
	witnessDisputed
)

// state returns what the witness, and the connections of other answers, show of the process that has closed u.
func (ws *witnesses) state(u *upstream) witnessState {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := u.witness
	if w == nil {
		return witnessNone
	}
	a := w.answers[u]
	witnessed := w.current != nil && w.precedes(a)
	open := witnessed && isOpen(w.current.upstream)
	ended := a.doubted || witnessed && !open && !ws.closesAsIdle(w.address, time.Since(w.current.openedAt))
	switch companion := w.hasCompanion(u, a); {
	case ended && companion:
		return witnessDisputed
	case ended:
		return witnessEnded
	case open || companion:
		return witnessOpen
	}
	return witnessNone
}

// hasCompanion reports whether the connection of another answer was there when an answer was last seen open, and is open. w.all.mu is
// held.
func (w *witness) hasCompanion(u *upstream, a *witnessedAnswer) bool {
	for other := range w.answers {
		if other != u && !other.openedAt.Add(overlap).After(a.seen) && isOpenWithoutInput(other) {
			return true
		}
	}
	return false
}

// outlived reports whether the answer on u went on after the target had closed other connections, and whether after
// it had closed its listener.
func (ws *witnesses) outlived(u *upstream) (connections, listener bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if u.witness == nil {
		return false, false
	}
	a := u.witness.answers[u]
	return a.outlived, a.outlivedListener
}

// isOpen reports whether the peer of a connection has neither closed nor reset it. Unlike a read that does not take what has
// come, the question does not take the error of a reset from the next read.
func isOpen(u *upstream) bool { return isOpenWithout(u, 0) }

// isOpenWithoutInput is isOpen for a connection of which all has been read that has come.
func isOpenWithoutInput(u *upstream) bool { return isOpenWithout(u, unix.POLLIN) }

// isOpenWithout reports whether a connection is open, and some events of poll(2) have not come.
func isOpenWithout(u *upstream, events int16) bool {
	revents, err := pollSocket(u.Conn, unix.POLLIN|unix.POLLRDHUP)
	return err == nil && revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL|events) == 0
}
