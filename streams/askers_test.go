package streams_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/streams"
)

// A router that has asked for a stream is told to others for a lifetime at least, unless it withdraws its latest question. What it asked
// before it started again stays, as it cannot tell whether it went on with the stream.
func TestAskersAreRemembered(t *testing.T) {
	is := is.New(t)
	now, id := time.Unix(1000, 0), streams.IDOf("a")
	first, second := netip.MustParseAddrPort("10.0.0.1:7400"), netip.MustParseAddrPort("10.0.0.2:7400")
	type numbers = map[netip.AddrPort]uint64
	var a streams.Askers
	a.Ask(now, id, first, 4, 5)
	a.Ask(now, id, first, 4, 6)
	a.Ask(now, id, second, 0, 1)
	is.Equal(a.Of(id), numbers{first: 6, second: 1})
	is.Equal(len(a.Of(streams.IDOf("b"))), 0)
	a.Withdraw(id, first, 4, 5) // comes late
	is.Equal(a.Of(id), numbers{first: 6, second: 1})
	a.Withdraw(id, first, 4, 6)
	is.Equal(a.Of(id), numbers{second: 1})
	a.Ask(now, id, second, 2, 3) // has started again
	a.Withdraw(id, second, 2, 3)
	is.Equal(a.Of(id), numbers{second: 1})

	a.Ask(now.Add(streams.Lifetime), streams.IDOf("b"), first, 4, 7)
	a.Ask(now.Add(streams.Lifetime), id, second, 2, 4)
	is.Equal(a.Of(id), numbers{second: 1})
	a.Ask(now.Add(2*streams.Lifetime), streams.IDOf("b"), first, 4, 8)
	is.Equal(len(a.Of(id)), 0)
}
