package scheduling

import (
	"sync"

	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/broker"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// localQueueSize is the capacity in batches of each direction of a LocalLink.
const localQueueSize = 256

// LocalLink connects the router's own broker to its own host without a network
// connection. It implements broker.Link.
type LocalLink struct {
	session  *Session
	toHost   chan *v1.EntryBatch
	toBroker chan *v1.SchedulerBatch
	closed   chan struct{}
	once     sync.Once
}

// OpenLocal opens a session of the router self with its own host. The receiver gets the
// host's batches and is told when the link closes.
func OpenLocal(h *Host, self state.Member, receiver broker.Receiver) *LocalLink {
	l := &LocalLink{
		toHost:   make(chan *v1.EntryBatch, localQueueSize),
		toBroker: make(chan *v1.SchedulerBatch, localQueueSize),
		closed:   make(chan struct{}),
	}
	router := pool.Router{Name: self.Name, Incarnation: self.Incarnation}
	l.session = h.Open(router, self.Zone, l.queueForBroker, l.Close)
	h.t.Go(l.forwardToHost)
	h.t.Go(func() error { return l.deliverToBroker(receiver) })
	return l
}

// Send implements broker.Link. It does not block: if the queue to the host is full, it
// closes the link.
func (l *LocalLink) Send(batch *v1.EntryBatch) {
	select {
	case l.toHost <- batch:
	default:
		l.Close()
	}
}

// SetWaiting implements broker.Link. It does nothing, since a link without a connection
// is never silent.
func (l *LocalLink) SetWaiting(bool) {}

// queueForBroker queues a batch of the host for the broker. It does not block: if the
// queue is full, it closes the link.
func (l *LocalLink) queueForBroker(batch *v1.SchedulerBatch) {
	select {
	case l.toBroker <- batch:
	default:
		l.Close()
	}
}

// Close implements broker.Link. It may be called more than once.
func (l *LocalLink) Close() {
	l.once.Do(func() { close(l.closed) })
}

// forwardToHost passes batches of the broker to the host until the link closes or the
// tomb dies. Then it closes the session.
func (l *LocalLink) forwardToHost() error {
	defer l.session.Close()
	for {
		select {
		case batch := <-l.toHost:
			l.session.Receive(batch)
		case <-l.closed:
			return nil
		case <-l.session.host.t.Dying():
			return nil
		}
	}
}

// deliverToBroker passes batches of the host to the broker until the link closes or the
// tomb dies. It tells the receiver when the link closes.
func (l *LocalLink) deliverToBroker(receiver broker.Receiver) error {
	for {
		select {
		case batch := <-l.toBroker:
			receiver.Received(batch)
		case <-l.closed:
			receiver.Closed(nil)
			return nil
		case <-l.session.host.t.Dying():
			return nil
		}
	}
}
