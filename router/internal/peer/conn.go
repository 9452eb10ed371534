// Package peer implements the communication between routers over DRPC, client
// and server. It carries the streams between entry routers and schedulers, the
// exchanges of state, the calls about request keys, and forwarded requests.
//
// Connections are plain TCP without TLS.
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
	// maxMessageBytes bounds one DRPC message. The largest message is a
	// configuration with its framing.
	maxMessageBytes = 2 << 20
	// writeTimeout bounds one write to a connection. A peer that accepts nothing
	// for this time is lost.
	writeTimeout = 2 * time.Second
	// tcpKeepAlive is the interval of TCP keep-alive probes.
	tcpKeepAlive = 5 * time.Second
)

// Traffic counts the bytes on connections between routers and the messages by
// type. Its methods are called concurrently.
type Traffic interface {
	// AddBytes counts the bytes of reads and writes on a connection. forwarding is
	// set for a connection that carries forwarded requests.
	AddBytes(sent, received int, forwarding bool)
	// AddMessage counts a message of the type name and of size bytes. direction is
	// Sent or Received.
	AddMessage(name, direction string, size int)
}

// Directions of a message, as Traffic counts them.
const (
	Sent     = "sent"
	Received = "received"
)

// connKind tells what a connection carries.
type connKind int32

const (
	// kindUnknown is the kind of an accepted connection before its first call.
	kindUnknown connKind = iota
	// kindControl is the kind of a connection for messages between routers.
	kindControl
	// kindForwarding is the kind of a connection for forwarded requests.
	kindForwarding
)

// meteredConn counts the bytes of a connection and sets a deadline for each write.
type meteredConn struct {
	net.Conn
	traffic Traffic

	// mu guards the fields below.
	mu   sync.Mutex
	kind connKind
	// sent and received count the bytes that were transferred before the kind was
	// known.
	sent     int
	received int
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}

func (c *meteredConn) count(sent, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kind == kindUnknown {
		c.sent += sent
		c.received += received
		return
	}
	c.traffic.AddBytes(sent, received, c.kind == kindForwarding)
}

// setKind sets the kind of an accepted connection and counts the bytes so far under
// it. It has no effect if the kind is already known.
func (c *meteredConn) setKind(kind connKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kind != kindUnknown {
		return
	}
	c.kind = kind
	c.traffic.AddBytes(c.sent, c.received, kind == kindForwarding)
}

// connKindHandler sets the kind of an accepted connection by its first call.
type connKindHandler struct {
	drpc.Handler
}

// HandleRPC implements drpc.Handler.
func (h connKindHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	kind := kindControl
	if rpc == forwardRPC {
		kind = kindForwarding
	}
	if transport, ok := drpcctx.Transport(stream.Context()); ok {
		if conn, ok := transport.(*meteredConn); ok {
			conn.setKind(kind)
		}
	}
	return h.Handler.HandleRPC(stream, rpc)
}

// forwardRPC is the name of the RPC that carries forwarded requests.
const forwardRPC = "/chiveseam.v1.Peering/Forward"

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// dial opens a connection of the kind to the router at address, a host:port. ctx
// bounds the connecting only.
func dial(ctx context.Context, address string, timeout time.Duration, traffic Traffic, kind connKind) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: tcpKeepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	metered := &meteredConn{Conn: conn, traffic: traffic, kind: kind}
	return drpcconn.NewWithOptions(metered, drpcconn.Options{Manager: managerOptions()}), nil
}
