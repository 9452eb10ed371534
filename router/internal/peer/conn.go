// Package peer carries the messages between routers over drpc: scheduling
// streams, exchanges of state, and requests that are passed on.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	// maxMessageBytes bounds one message: a configuration and its frame.
	maxMessageBytes = 2 << 20
	// writeTimeout bounds one write to a connection: a peer that accepts
	// nothing for so long is lost.
	writeTimeout = 2 * time.Second
	tcpKeepAlive = 5 * time.Second
)

// Traffic counts the bytes on connections between routers, and the messages
// by type.
type Traffic interface {
	// Bytes counts bytes on a connection; data is set for those of callers'
	// requests that are passed on.
	Bytes(sent, received int, data bool)
	Message(name, direction string, size int)
}

// Directions of a message, as Traffic counts them.
const (
	Sent     = "sent"
	Received = "received"
)

// connKind is what a connection carries.
type connKind int32

const (
	// kindUnknown: a served connection before its first call.
	kindUnknown connKind = iota
	kindControl
	kindData
)

// countedConn counts bytes and bounds the time of each write.
type countedConn struct {
	net.Conn
	traffic Traffic

	mu   sync.Mutex
	kind connKind
	// sent and received are the bytes before the kind was known.
	sent     int
	received int
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}

func (c *countedConn) count(sent, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kind == kindUnknown {
		c.sent += sent
		c.received += received
		return
	}
	c.traffic.Bytes(sent, received, c.kind == kindData)
}

// setKind counts what came before with the kind. Later calls on the connection
// do not change it.
func (c *countedConn) setKind(kind connKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kind != kindUnknown {
		return
	}
	c.kind = kind
	c.traffic.Bytes(c.sent, c.received, kind == kindData)
}

// countingHandler tells a served connection what it carries.
type countingHandler struct {
	drpc.Handler
}

// HandleRPC implements drpc.Handler.
func (h countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	kind := kindControl
	if rpc == forwardRPC {
		kind = kindData
	}
	if transport, ok := drpcctx.Transport(stream.Context()); ok {
		if conn, ok := transport.(*countedConn); ok {
			conn.setKind(kind)
		}
	}
	return h.Handler.HandleRPC(stream, rpc)
}

// forwardRPC is the call that carries callers' requests.
const forwardRPC = "/chiveseam.v1.Peering/Forward"

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// dial opens a connection to a router, for callers' data or for control.
func dial(ctx context.Context, address string, timeout time.Duration, traffic Traffic, kind connKind) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: tcpKeepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn, traffic: traffic, kind: kind}
	return drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions()}), nil
}
