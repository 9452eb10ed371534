package e2e

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// The ports on which routers and targets listen are below the range from which the
// kernel assigns ports to outgoing connections. Each test process reserves one block of ports by keeping the
// block's first port bound, so that concurrent test processes use different
// ports.
const (
	firstPort     = 20000
	portsPerBlock = 4000
	portBlocks    = 3
)

var (
	nextPort atomic.Uint32
	// ownPortBlock returns the first port of this process's block.
	ownPortBlock = sync.OnceValues(reservePortBlock)
	// portBlockListener keeps the first port of the block bound until the process
	// ends.
	portBlockListener net.Listener
)

// reservePortBlock binds the first port of a free block and returns that port.
func reservePortBlock() (int, error) {
	for block := range portBlocks {
		port := firstPort + block*portsPerBlock
		listener, err := net.Listen("tcp", loopback(port))
		if err == nil {
			portBlockListener = listener
			return port, nil
		}
	}
	return 0, errors.New("all blocks of ports are in use")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freeAddress returns a loopback address on which nothing listens. It checks by
// connecting, not by binding: a process that is being started at that moment
// would hold a copy of the bound socket, and the port would stay in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	base, err := ownPortBlock()
	if err != nil {
		t.Fatal(err)
	}
	for range portsPerBlock {
		address := loopback(base + 1 + int(nextPort.Add(1))%(portsPerBlock-1))
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return address
		}
		conn.Close()
	}
	t.Fatal("no free port")
	return ""
}
