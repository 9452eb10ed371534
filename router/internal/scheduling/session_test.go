package scheduling

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config/configtest"
)

// TestStreamOfAReplacedSessionEnds lets the streams of two sessions of one
// router arrive in either order: what is sent on the replaced one is ignored.
func TestStreamOfAReplacedSessionEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ended := false
	f.session.replaced = func() { ended = true }
	next := f.newSession(f.session.router, configtest.Zone, nil)
	next.replaced = func() {}
	f.handle(openInput{next}, f.now)
	is.True(ended)
	f.handle(closeInput{f.session}, f.now)
	is.Equal(f.sessions[next.router], next)
}
