// Package peer carries the messages between routers over drpc: scheduling
// streams, exchanges of state, and requests that are passed on.
package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
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
	Bytes(sent, received int)
	Message(name, direction string, size int)
}

// Directions of a message, as Traffic counts them.
const (
	Sent     = "sent"
	Received = "received"
)

// countedConn counts bytes and bounds the time of each write.
type countedConn struct {
	net.Conn
	traffic Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Bytes(0, n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.Bytes(n, 0)
	return n, err
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// dial opens a connection to a router.
func dial(ctx context.Context, address string, timeout time.Duration, traffic Traffic) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: tcpKeepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn, traffic: traffic}
	return drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions()}), nil
}
