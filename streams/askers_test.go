package streams_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/streams"
)

// A router that has asked for a stream is told to others for a lifetime at least, unless it withdraws its latest question.
func TestAskersAreRemembered(t *testing.T) {
	is := is.New(t)
	now, id := time.Unix(1000, 0), streams.IDOf("a")
	first, second := netip.MustParseAddrPort("10.0.0.1:7400"), netip.MustParseAddrPort("10.0.0.2:7400")
	var a streams.Askers
	a.Ask(now, id, first, 5)
	a.Ask(now, id, first, 6)
	a.Ask(now, id, second, 1)
	is.Equal(a.Of(id, second), []netip.AddrPort{first})
	is.Equal(len(a.Of(id, netip.AddrPort{})), 2)
	is.Equal(len(a.Of(streams.IDOf("b"), second)), 0)
	a.Withdraw(id, first, 5) // comes late
	is.Equal(a.Of(id, second), []netip.AddrPort{first})
	a.Withdraw(id, first, 6)
	is.Equal(len(a.Of(id, second)), 0)

	a.Ask(now.Add(streams.Lifetime), streams.IDOf("b"), first, 7)
	is.Equal(a.Of(id, first), []netip.AddrPort{second})
	a.Ask(now.Add(2*streams.Lifetime), streams.IDOf("b"), first, 8)
	is.Equal(len(a.Of(id, first)), 0)
}
