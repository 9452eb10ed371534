package soak

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// firstPeerPort is the port of router 0 for the reports of other routers. All of these ports have as many digits.
	firstPeerPort = 18000
	// maxDatagramBytes is the largest size of a UDP datagram.
	maxDatagramBytes = 64 << 10
)

// peerPort returns the port at which a router receives reports, and at which the network receives those that it sends.
func peerPort(router int) int { return firstPeerPort + router }

// reportFault is what happens to the datagrams of one router.
type reportFault struct {
	// sentLost and receivedLost are the fractions of those that it sends and that are sent to it that are lost.
	sentLost, receivedLost float64
	// delay is how much later the others arrive, each of them twice if twice is set.
	delay time.Duration
	twice bool
}

// reportNetwork forwards the datagrams between routers and injects faults. Each router takes its own port for that of all
// routers: the network has a socket with that port at the IP of each other router, and replaces the port in the addresses that
// a report names. It is safe for concurrent use.
type reportNetwork struct {
	// sockets holds, by sender and receiver, the socket at the receiver's IP with the sender's port; nil for a router itself.
	sockets [][]*net.UDPConn

	// mu guards the fields below. faults holds the faults by router.
	mu     sync.Mutex
	faults []reportFault
	random *rand.Rand
}

// newReportNetwork returns the network of a number of routers. The seed determines which datagrams are lost.
func newReportNetwork(routers int, seed uint64) (*reportNetwork, error) {
	n := &reportNetwork{
		sockets: make([][]*net.UDPConn, routers), faults: make([]reportFault, routers), random: rand.New(rand.NewPCG(seed, 0)),
	}
	for from := range routers {
		n.sockets[from] = make([]*net.UDPConn, routers)
		for to := range routers {
			if from == to {
				continue
			}
			address, err := net.ResolveUDPAddr("udp4", loopback(to+1, peerPort(from)))
			if err != nil {
				return n, err
			}
			if n.sockets[from][to], err = net.ListenUDP("udp4", address); err != nil {
				return n, err
			}
		}
	}
	for from := range routers {
		for to := range routers {
			if from != to {
				go n.forward(from, to)
			}
		}
	}
	return n, nil
}

// forward forwards the datagrams from one router to another until the network is closed.
func (n *reportNetwork) forward(from, to int) {
	receiver := &net.UDPAddr{IP: n.sockets[from][to].LocalAddr().(*net.UDPAddr).IP, Port: peerPort(to)}
	senderPort, receiverPort := fmt.Appendf(nil, ":%d", peerPort(from)), fmt.Appendf(nil, ":%d", peerPort(to))
	buf := make([]byte, maxDatagramBytes)
	for {
		size, err := n.sockets[from][to].Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a datagram before did not reach its receiver
		}
		copies, delay := n.draw(from, to)
		message := bytes.ReplaceAll(buf[:size], senderPort, receiverPort)
		send := func() {
			for range copies {
				// Fails if the receiver's process has ended: datagrams may be lost.
				_, _ = n.sockets[to][from].WriteToUDP(message, receiver)
			}
		}
		if delay > 0 {
			time.AfterFunc(delay, send)
			continue
		}
		send()
	}
}

// draw draws how often a datagram arrives, and how much later.
func (n *reportNetwork) draw(from, to int) (copies int, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sender, receiver := n.faults[from], n.faults[to]
	switch {
	case n.random.Float64() < sender.sentLost || n.random.Float64() < receiver.receivedLost:
		return 0, 0
	case sender.twice || receiver.twice:
		return 2, max(sender.delay, receiver.delay)
	}
	return 1, max(sender.delay, receiver.delay)
}

// setFault sets the fault of the datagrams of a router.
func (n *reportNetwork) setFault(router int, f reportFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[router] = f
}

// close closes the sockets. Delayed datagrams are lost.
func (n *reportNetwork) close() {
	for _, sockets := range n.sockets {
		for _, s := range sockets {
			if s != nil {
				s.Close()
			}
		}
	}
}
