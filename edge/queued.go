package edge

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// acceptBacklog tells for how long connections have been waiting to be accepted. A busy processor falls
// behind there before its goroutines wait for it. It is safe for concurrent use.
type acceptBacklog struct {
	// since is the Unix time in nanoseconds at which connections were first found waiting; 0 if none
	// were at the last check.
	since atomic.Int64
}

// check records whether connections wait at a listener. It is called before each Accept.
func (b *acceptBacklog) check(now time.Time, l net.Listener) {
	if !hasPending(l) {
		b.since.Store(0)
		return
	}
	b.since.CompareAndSwap(0, now.UnixNano())
}

// age returns for how long connections have been waiting without a break.
func (b *acceptBacklog) age(now time.Time) time.Duration {
	since := b.since.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// hasPending reports whether connections wait to be accepted. It returns false if that is not known.
func hasPending(l net.Listener) bool {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}

// maxQueuedTime is the longest time that a request may have waited unread: what the kernel tells beyond
// that is taken for unknown.
const maxQueuedTime = 30 * time.Second

// kernelTick is the longest interval of the kernel's clock, in whose ticks it counts since the latest bytes.
const kernelTick = 10 * time.Millisecond

// queuedTime returns how long ago the latest bytes on a TCP connection came from the network: on a busy
// processor, a request may wait for seconds until it is read. It is up to kernelTick less than that, and 0 if the
// kernel does not tell.
func queuedTime(conn net.Conn) time.Duration {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var queued time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			queued = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil || queued > maxQueuedTime {
		return 0
	}
	return max(queued-kernelTick, 0)
}
