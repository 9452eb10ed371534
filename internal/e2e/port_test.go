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
	firstPort  = 20000
	blockPorts = 4000
	blocks     = 3
)

var (
	nextPort atomic.Uint32
	// ownBlock returns the first port of the block of this run.
	ownBlock = sync.OnceValues(takeBlock)
	// blockGuard holds the block for the life of the process.
	blockGuard net.Listener
)

func takeBlock() (int, error) {
	for block := range blocks {
		port := firstPort + block*blockPorts
		listener, err := net.Listen("tcp", loopback(port))
		if err == nil {
			blockGuard = listener
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
	base, err := ownBlock()
	if err != nil {
		t.Fatal(err)
	}
	for range blockPorts {
		address := loopback(base + 1 + int(nextPort.Add(1))%(blockPorts-1))
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return address
		}
		conn.Close()
	}
	t.Fatal("no free port")
	return ""
}
