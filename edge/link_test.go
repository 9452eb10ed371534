package edge

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/linkbudget"
	"github.com/chiveseam/chiveseam/placement"
)

// fillLink makes the link of a router busy for the next seconds.
func fillLink(e *Edge) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.link = linkbudget.New(10)
	e.link.Expect(now, "", linkbudget.Bytes{In: 1e8, Out: 1e8})
}

// Failure: a router whose link is full takes further requests, so that all become late. It refuses
// them at once as not run, lets go of the connection and is not ready.
func TestFullLinkRefusesAtOnce(t *testing.T) {
	f := newFixture(t)
	fillLink(f.edge)
	f.edge.updateLinkBusy(time.Now())
	resp, _, err := f.client().call("GET", "/once/1")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.Equal(resp.Header.Get("Connection"), "close")
	f.is.Equal(ranHeader(resp), "NO")
	f.is.True(resp.Header.Get("Retry-After") != "")
	f.is.True(!f.edge.isReady())
	f.is.True(f.logs.contains("network link full"))
	f.is.True(f.logs.contains("link_changed"))
}

// Failure: connections time out because the router's own link is full, and the router holds all
// targets for unreachable.
func TestTimeoutsOfAFullLinkDoNotBlameTargets(t *testing.T) {
	f := newFixture(t)
	e := f.edge
	timeout := &attempt{err: fmt.Errorf("connect: %w", os.ErrDeadlineExceeded)}
	refused := &attempt{err: errors.New("refused")}
	is := is.New(t)
	e.mu.Lock()
	is.Equal(e.placementOutcome(time.Now(), timeout, notSent), placement.Unreachable)
	e.mu.Unlock()
	fillLink(e)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(e.placementOutcome(time.Now(), timeout, notSent), placement.Unsent)
	is.Equal(e.placementOutcome(time.Now(), refused, notSent), placement.Unreachable)
}
