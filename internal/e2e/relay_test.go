package e2e

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay passes TCP connections on to an address. A direction can fall silent:
// what is sent is lost, and neither end is told.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*relayLink
	// toTarget and toClient silence the directions of new connections.
	toTarget, toClient bool
}

// relayLink is one connection that is passed on.
type relayLink struct {
	client, target     net.Conn
	toTarget, toClient atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	go r.serve()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		r.join(&relayLink{client: client, target: target})
	}
}

func (r *relay) join(l *relayLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.silence(r.toTarget, r.toClient)
	r.links = append(r.links, l)
	go pass(l.target, l.client, &l.toTarget)
	go pass(l.client, l.target, &l.toClient)
}

func (l *relayLink) silence(toTarget, toClient bool) {
	l.toTarget.Store(toTarget)
	l.toClient.Store(toClient)
}

// pass copies what arrives until its end. A silent direction also loses the end.
func pass(dst io.WriteCloser, src io.Reader, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if silent.Load() {
			n = 0
		}
		if _, failed := dst.Write(buffer[:n]); failed != nil {
			return
		}
		if err != nil && !silent.Load() {
			dst.Close()
		}
		if err != nil {
			return
		}
	}
}

// silenceOpen silences both directions of the open connections; new ones work.
func (r *relay) silenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.silence(true, true)
	}
}

// silence silences directions of all connections, open and new.
func (r *relay) silence(toTarget, toClient bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toTarget, r.toClient = toTarget, toClient
	for _, l := range r.links {
		l.silence(toTarget, toClient)
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.client.Close()
		l.target.Close()
	}
}
