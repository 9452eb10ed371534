package exchange

import (
	"net/netip"
	"testing"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// BenchmarkHandleReport measures the reading of a report in a fleet of 195 routers.
func BenchmarkHandleReport(b *testing.B) {
	const routers = 195
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 9)
	}
	now := time.Unix(1000, 0)
	m := New(address(0), "", now, 3*time.Second, 1)
	report := &v1.LoadReport{}
	for i := range b.N {
		m.HandleReport(now, address(1+i%(routers-1)), report)
	}
}
