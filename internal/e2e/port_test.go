package e2e

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// The ports lie below those that the kernel gives to outgoing connections.
// Each run of the tests takes a block of them, whose first port it keeps
// bound, so that runs at the same time do not take each other's.
const (
	firstPort     = 20000
	portsPerBlock = 4000
	portBlocks    = 3
)

var (
	nextPort atomic.Uint32
	// ownPortBlock returns the first port of the block of this run.
	ownPortBlock = sync.OnceValues(reservePortBlock)
	// portBlockListener holds the block for the life of the process.
	portBlockListener net.Listener
)

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

// freeAddress returns a loopback address on which nothing listens. It asks by
// connecting: a port that was bound for the question stays in use while a
// process that is being started at that moment still holds a copy of it.
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
