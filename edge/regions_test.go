package edge

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/routing"
)

// Guards against a second attempt or a resumed stream in another region or in a zone of no known region, and
// against a refusal that a caller takes for its own mistake or that does not say why.
func TestAttemptsStayInAllowedRegions(t *testing.T) {
	north := newTestTarget(t, "north", func(s *receivedRequest) {
		if s.Path() == "/resumable/" {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nContent-Length: 99\r\n\r\nid: 1\ndata: a\n\n")
			s.reset()
			return
		}
		s.notRun(500)
	})
	south, unknown := newTestTarget(t, "south", echo), newTestTarget(t, "unknown", echo)
	north.zone, south.zone, unknown.zone = "a", "b", "c"
	f := newFixture(t, north, south, unknown)
	routes := testRoutes()
	for _, r := range routes {
		r.AllowedRegions = routing.Regions{"north", "south"}
	}
	table := routing.NewTable(2, routes, nil, routing.Limits{}, map[string]string{"key": "shop"})
	table.WorkspaceRegions = map[string]routing.Regions{"shop": {"north", "east"}}
	f.edge.applyTable(table, Revision{Number: 2})

	resp, _, err := f.client().call("GET", "/idempotent/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.Equal(ranHeader(resp), "NO")
	_, body, err := f.client().call("GET", "/resumable/")
	f.is.True(err != nil) // broken off, rather than resumed elsewhere
	f.is.Equal(body, "id: 1\ndata: a\n\n")
	f.is.Equal(len(north.requests()), 2)

	f.source.replaceTarget("north", south.registration())
	f.await(func() bool { return f.logs.contains(`"event":"target_gone"`, "north") })
	resp, _, err = f.client().call("GET", "/idempotent/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.True(resp.Header.Get("Retry-After") != "")
	f.is.True(f.logs.contains(`"request_refused"`, "none is in an allowed region", "region:2"))
	f.is.Equal(len(south.requests())+len(unknown.requests()), 0)
}

// Guards against a router that does not start since no zone has a region, and against a zone whose region
// is guessed from a pair that makes no sense.
func TestZoneRegionsAreRead(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]map[string]string{
		"": {}, " a=north, b = south,": {"a": "north", "b": "south"}, "a=": {"a": ""}, "a=north,a=north": {"a": "north"},
	} {
		regions, err := ParseZoneRegions(text)
		is.NoErr(err)
		is.Equal(regions, want)
	}
	for _, text := range []string{"a", "=north", "a=north,a=south"} {
		_, err := ParseZoneRegions(text)
		is.True(err != nil)
	}
	s, err := parseSettings(fillTemplate(t, nil))
	is.NoErr(err)
	is.Equal(s.ZoneRegions, map[string]string{"a": "north"})
}
