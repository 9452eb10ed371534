package e2e

import (
	"net"
	"sync"
	"testing"
)

// relayBuffer is the size of a read of a relay.
const relayBuffer = 32 << 10

// relay passes connections to a router's peer port. While it is cut, it takes
// connections and data and passes nothing, as a network partition does.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// startRelay listens on a free address until the end of the test.
func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.closeAll()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns[in], r.conns[out] = true, true
		r.mu.Unlock()
		go r.pass(in, out)
		go r.pass(out, in)
	}
}

// pass copies data until either end closes. Data that arrives during a cut is
// lost.
func (r *relay) pass(to, from net.Conn) {
	defer r.end(to, from)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.isCut() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) end(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
		_ = conn.Close()
	}
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// setCut begins or ends a cut. Connections that may have lost data are closed
// at its end.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	if !cut {
		r.closeAll()
	}
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}
