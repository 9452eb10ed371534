package scheduling

import (
	"sync"

	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/broker"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

const localQueue = 256

// LocalLink joins the router's own broker to its own host without a
// connection. It implements broker.Link.
type LocalLink struct {
	session *Session
	entry   chan *v1.EntryBatch
	answers chan *v1.SchedulerBatch
	closed  chan struct{}
	once    sync.Once
}

// OpenLocal starts a session for the router itself.
func OpenLocal(h *Host, self state.Member, receiver broker.Receiver) *LocalLink {
	l := &LocalLink{
		entry:   make(chan *v1.EntryBatch, localQueue),
		answers: make(chan *v1.SchedulerBatch, localQueue),
		closed:  make(chan struct{}),
	}
	router := pool.Router{Name: self.Name, Incarnation: self.Incarnation}
	l.session = h.Open(router, self.Zone, l.answer, l.Close)
	h.t.Go(l.forward)
	h.t.Go(func() error { return l.deliver(receiver) })
	return l
}

// Send implements broker.Link. The link closes if the host falls behind.
func (l *LocalLink) Send(batch *v1.EntryBatch) {
	select {
	case l.entry <- batch:
	default:
		l.Close()
	}
}

// SetWaiting implements broker.Link. A link without a connection is not silent.
func (l *LocalLink) SetWaiting(bool) {}

func (l *LocalLink) answer(batch *v1.SchedulerBatch) {
	select {
	case l.answers <- batch:
	default:
		l.Close()
	}
}

// Close implements broker.Link.
func (l *LocalLink) Close() {
	l.once.Do(func() { close(l.closed) })
}

// forward is the duty that passes batches to the host.
func (l *LocalLink) forward() error {
	defer l.session.Close()
	for {
		select {
		case batch := <-l.entry:
			l.session.Receive(batch)
		case <-l.closed:
			return nil
		case <-l.session.host.t.Dying():
			return nil
		}
	}
}

// deliver is the duty that passes answers to the broker.
func (l *LocalLink) deliver(receiver broker.Receiver) error {
	for {
		select {
		case batch := <-l.answers:
			receiver.Received(batch)
		case <-l.closed:
			receiver.Closed(nil)
			return nil
		case <-l.session.host.t.Dying():
			return nil
		}
	}
}
