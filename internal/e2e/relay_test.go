package e2e

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP proxy in front of an address. Each direction can be made silent:
// the relay then discards the bytes and the end of the stream, and neither side
// gets an error. It is safe for concurrent use.
type relay struct {
	listener net.Listener
	// target is the address to which connections are forwarded.
	target string

	// mu guards the fields below.
	mu    sync.Mutex
	conns []*relayConn
	// toTarget and toClient are the directions that are silent on new connections.
	toTarget, toClient bool
}

// relayConn is one forwarded connection.
type relayConn struct {
	client, target net.Conn
	// toTarget and toClient are set while the direction is silent.
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

// forwardUnlessSilent copies src to dst until the end of src, and then closes dst.
// While silent is set it discards the data, and does not close dst at the end.
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

// silenceOpenConns makes both directions of all open connections silent. New
// connections are not affected.
func (r *relay) silenceOpenConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.conns {
		l.setSilent(true, true)
	}
}

// setSilent sets which directions are silent on all connections, open and new.
func (r *relay) setSilent(toTarget, toClient bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toTarget, r.toClient = toTarget, toClient
	for _, l := range r.conns {
		l.setSilent(toTarget, toClient)
	}
}

// setPartitioned begins or ends a network partition, during which both directions
// are silent. At its end all open connections are closed, because they may have
// lost data.
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
