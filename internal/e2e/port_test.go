package e2e

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The ports lie below those that the kernel gives to outgoing connections.
const (
	firstPort    = 20000
	portCount    = 12000
	portsPerTest = 200
)

var nextPort atomic.Uint32

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		offset := uint32(os.Getpid())*portsPerTest + nextPort.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}
