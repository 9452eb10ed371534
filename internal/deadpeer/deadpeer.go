// Package deadpeer dials TCP connections that end when their peer is silent.
//
// An open connection can lose its peer without a sign. Keep-alive probes find
// that on an idle connection, the user timeout on one with data under way.
package deadpeer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout bounds the time until sent data is acknowledged: several
	// retransmissions of a lost packet.
	unackedTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount end a silent connection after 2 s.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// Dialer returns a dialer whose connections are set up within timeout and end
// when their peer is silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

func setUserTimeout(c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
