// Package deadpeer dials TCP connections that end when their peer stops answering.
//
// Otherwise a TCP connection can stay open long after its peer's machine or the network has
// failed. Keep-alive probes detect the failure on an idle connection, and
// TCP_USER_TIMEOUT detects it on a connection with unacknowledged data.
package deadpeer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout bounds the time until sent data is acknowledged. It leaves time for
	// several retransmissions of a lost packet.
	unackedTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount end an idle connection 2 s after its peer went
	// silent.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// Dialer returns a dialer that connects within timeout and whose connections end when their
// peer stops answering. It is safe for concurrent use.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT of a socket to unackedTimeout.
func setUserTimeout(c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}
