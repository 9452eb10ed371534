package edge

import (
	"testing"

	"github.com/chiveseam/chiveseam/routing"
)

// Guards against a second attempt in another region or in a zone of no known region, against a refusal that a
// caller takes for its own mistake or that does not say why, and against pairs that make no sense.
func TestAttemptsStayInAllowedRegions(t *testing.T) {
	north := newTestTarget(t, "north", func(s *receivedRequest) { s.notRun(500) })
	south, unknown := newTestTarget(t, "south", echo), newTestTarget(t, "unknown", echo)
	north.zone, south.zone, unknown.zone = "a", "b", "c"
	f := newFixture(t, north, south, unknown)
	table := testTable(2)
	table.WorkspaceRegions = map[string]routing.Regions{"shop": {"north"}}
	f.edge.applyTable(table, Revision{Number: 2})
	for range 2 {
		resp, _, err := f.client().call("GET", "/idempotent/")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 503)
		f.is.Equal(ranHeader(resp), "NO")
		f.source.replaceTarget("north", south.registration())
		f.await(func() bool { return f.logs.contains(`"event":"target_gone"`, "north") })
	}
	f.is.True(f.logs.contains(`"request_refused"`, "none is in an allowed region", "region:2"))
	f.is.Equal(len(north.requests()), 1)
	f.is.Equal(len(south.requests())+len(unknown.requests()), 0)

	regions, err := ParseZoneRegions(" a=north, b = south,c=,")
	f.is.NoErr(err)
	f.is.Equal(regions, map[string]string{"a": "north", "b": "south", "c": ""})
	for _, text := range []string{"a", "=north", "a=north,a=south"} {
		_, err := ParseZoneRegions(text)
		f.is.True(err != nil)
	}
}
