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
	conns []*relayConn
	// toTarget and toClient silence the directions of new connections.
	toTarget, toClient bool
}

// relayConn is one connection that is passed on.
type relayConn struct {
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
		r.addConn(&relayConn{client: client, target: target})
	}
}

func (r *relay) addConn(l *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.setSilent(r.toTarget, r.toClient)
	r.conns = append(r.conns, l)
	go forwardUnlessSilent(l.target, l.client, &l.toTarget)
	go forwardUnlessSilent(l.client, l.target, &l.toClient)
}

func (l *relayConn) setSilent(toTarget, toClient bool) {
	l.toTarget.Store(toTarget)
	l.toClient.Store(toClient)
}

// forwardUnlessSilent copies what arrives until its end. A silent direction also loses the end.
func forwardUnlessSilent(dst io.WriteCloser, src io.Reader, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if silent.Load() {
			n = 0
		}
		if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
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

// silenceOpenConns silences both directions of the open connections; new ones work.
func (r *relay) silenceOpenConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.conns {
		l.setSilent(true, true)
	}
}

// setSilent silences directions of all connections, open and new.
func (r *relay) setSilent(toTarget, toClient bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toTarget, r.toClient = toTarget, toClient
	for _, l := range r.conns {
		l.setSilent(toTarget, toClient)
	}
}

// setPartitioned begins or ends a cut, in which both directions are silent, as in a
// network partition. Connections that may have lost data are closed at its end.
func (r *relay) setPartitioned(partitioned bool) {
	r.setSilent(partitioned, partitioned)
	if !partitioned {
		r.closeConns()
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.closeConns()
}

func (r *relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.conns {
		l.client.Close()
		l.target.Close()
	}
}
