package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// movableTargets returns targets by "service version", of the services and software versions that are named. Their streams have
// the events 1 to 12 and name in each the service and version that wrote it.
func movableTargets(t *testing.T, names ...string) (targets []*testTarget, registrations []routing.Target) {
	for i, name := range names {
		service, version, _ := strings.Cut(name, " ")
		target := newTestTarget(t, fmt.Sprintf("t%d", i), func(s *receivedRequest) {
			last, _ := strconv.Atoi(s.Header.Get("T-Last"))
			s.writeStreamHead()
			for event := last + 1; event <= 12; event++ {
				s.writeChunk(fmt.Sprintf("id: %d\ndata: %s\n\n", event, name))
			}
			s.writeLastChunk()
		})
		r := target.registration()
		r.Service, r.Version = service, version
		targets, registrations = append(targets, target), append(registrations, r)
	}
	return targets, registrations
}

// movedTable is testTable with the resumable route changed, and the services A and B.
func movedTable(version uint64, change func(r *routing.Route)) *routing.Table {
	routes := testRoutes()
	for _, r := range routes {
		if r.Prefix == "/resumable/" {
			change(r)
		}
	}
	services := []routing.Service{{Name: "s"}, {Name: "A"}, {Name: "B"}}
	return routing.NewTable(version, routes, services, routing.Limits{IdleTimeout: 10 * time.Second}, map[string]string{"key": "shop"})
}

// leadsTo makes a route lead to services with equal weights.
func leadsTo(names ...string) func(r *routing.Route) {
	return func(r *routing.Route) {
		r.Services = nil
		for _, name := range names {
			r.Services = append(r.Services, routing.WeightedService{Service: name, Weight: 1})
		}
	}
}

// setTable puts a configuration in force.
func (f *fixture) setTable(table *routing.Table) {
	f.t.Helper()
	f.source.mu.Lock()
	f.source.revision.Number++
	f.source.table, f.source.tableAt = table, f.source.revision
	f.source.mu.Unlock()
	f.await(func() bool { return f.edge.table.Load().Version == table.Version })
}

// playedStream is a stream as its caller has it over all tries.
type playedStream struct {
	// id is the request that brought the first event; "" before.
	id string
	// wrote holds the service and version that wrote each event.
	wrote []string
	// status is that of the last try.
	status int
}

// read begins the stream or takes it up at f, and leaves it after a number of events.
func (s *playedStream) read(f *fixture, events int) {
	f.t.Helper()
	c := f.client()
	defer c.conn.Close()
	extra := ""
	if s.id != "" {
		extra = fmt.Sprintf("T-Last: %d\r\nT-Resumes: %s\r\n", len(s.wrote), s.id)
	}
	id := c.send("POST", "/resumable/", extra, "")
	line, err := c.br.ReadString('\n')
	f.is.NoErr(err)
	s.status, _ = strconv.Atoi(strings.Fields(line)[1])
	for read := 0; s.status == http.StatusOK && read < events; {
		line, err := c.br.ReadString('\n')
		f.is.NoErr(err)
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			f.is.Equal(strings.TrimSpace(number), strconv.Itoa(len(s.wrote)+1))
		}
		if name, ok := strings.CutPrefix(line, "data: "); ok {
			s.wrote = append(s.wrote, strings.TrimSpace(name))
			read++
		}
	}
	if s.id == "" {
		s.id = id
	}
}

// newMovableFleet starts routers that know the targets and each other.
func newMovableFleet(t *testing.T, routers int, names ...string) []*fixture {
	_, registrations := movableTargets(t, names...)
	fleet := []*fixture{newFixture(t)}
	for number := 2; number <= routers; number++ {
		fleet = append(fleet, fleet[0].newNumberedPeer(number))
	}
	for _, f := range fleet {
		f.source.mu.Lock()
		for _, r := range registrations {
			change := TargetChange{ID: r.ID, Target: r, Revision: Revision{Number: 1}}
			f.source.targets = append(f.source.targets, change)
			f.source.pendingChanges = append(f.source.pendingChanges, change)
		}
		f.source.mu.Unlock()
		f.await(func() bool {
			f.edge.mu.Lock()
			defer f.edge.mu.Unlock()
			return len(f.edge.directory.targets) == len(registrations)
		})
	}
	return fleet
}

// versionsOf returns the number of versions that wrote events of a stream, at all services or at one.
func (s *playedStream) versionsOf(service string) int {
	versions := map[string]bool{}
	for _, name := range s.wrote {
		if wroteAt, version, _ := strings.Cut(name, " "); service == "" || wroteAt == service {
			versions[version] = true
		}
	}
	return len(versions)
}

// Guards against ORDER: a stream whose route has come to another service, to a part of one, or back, goes on at another
// software version than the one that began it, at the router that forwarded it or at another one.
func TestStreamStaysAtItsVersionWhereverItsRouteLeads(t *testing.T) {
	targets := []string{"A v1", "B v2", "A v2", "B v1", "B v2", "A v1", "B v1", "A v2"}
	for name, c := range map[string]struct {
		targets []string
		// steps are the services to which the route leads, first those of the beginning.
		steps [][]string
		// shared is set if all services have the versions of the others.
		shared bool
	}{
		"moved":                     {targets, [][]string{{"A"}, {"B"}, {"B"}}, true},
		"moved and back":            {targets, [][]string{{"A"}, {"B"}, {"A"}, {"B"}}, true},
		"split":                     {targets, [][]string{{"A"}, {"A", "B"}, {"B"}}, true},
		"joined":                    {targets, [][]string{{"A", "B"}, {"B"}, {"A"}, {"A", "B"}}, true},
		"moved to other versions":   {[]string{"A v1", "B v2", "B v3", "B v2", "B v3"}, [][]string{{"A"}, {"B"}, {"A"}, {"B"}, {"B"}}, false},
		"moved to another, and one": {[]string{"A v1", "B v2", "B v3", "s v1", "s v3"}, [][]string{{"A"}, {"B"}, {"s"}, {"B"}}, false},
	} {
		for _, routers := range []int{1, 2} {
			t.Run(fmt.Sprint(name, routers), func(t *testing.T) {
				t.Parallel()
				fleet := newMovableFleet(t, routers, c.targets...)
				played := make([]playedStream, 8)
				for step, to := range c.steps {
					for _, f := range fleet {
						f.setTable(movedTable(uint64(step+2), leadsTo(to...)))
					}
					slices.Reverse(played)
					for i := range played {
						s := &played[i]
						if s.read(fleet[step%routers], 2); s.status != http.StatusOK {
							t.Errorf("step %d: %d", step, s.status)
						}
					}
				}
				for _, s := range played {
					if s.versionsOf("A") > 1 || s.versionsOf("B") > 1 || c.shared && s.versionsOf("") > 1 {
						t.Errorf("of two versions: %q", s.wrote)
					}
				}
			})
		}
	}
}

// Guards against ORDER: a stream is taken up when its route may no longer be resumed, or for the first time may be, and goes on at
// another software version, as only routes that may be resumed were looked at.
func TestStreamStaysAtItsVersionWhenItsRouteChanges(t *testing.T) {
	resumable := func(r *routing.Route) { leadsTo("A")(r) }
	once := func(r *routing.Route) { leadsTo("A")(r); r.RetryPolicy = routing.AtMostOnce }
	short := func(r *routing.Route) { leadsTo("A")(r); r.MaxAttempts, r.Timeout = 1, time.Second }
	other := func(r *routing.Route) { leadsTo("A")(r); r.Prefix = "/" }
	elsewhere := func(r *routing.Route) { leadsTo("B")(r); r.RetryPolicy = routing.AtMostOnce }
	for name, c := range map[string]struct {
		changes []func(r *routing.Route)
		refused bool
	}{
		"no longer resumable":      {[]func(r *routing.Route){resumable, once, resumable, once}, false},
		"resumable from now on":    {[]func(r *routing.Route){once, resumable}, true},
		"shorter, one attempt":     {[]func(r *routing.Route){resumable, short, resumable}, false},
		"another prefix":           {[]func(r *routing.Route){resumable, other, resumable}, false},
		"moved, not to be resumed": {[]func(r *routing.Route){resumable, elsewhere, elsewhere, resumable}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newMovableFleet(t, 2, "A v1", "B v2", "A v2", "B v1", "A v1", "A v2")
			played := make([]playedStream, 8)
			for step, change := range c.changes {
				for _, f := range fleet {
					f.setTable(movedTable(uint64(step+2), change))
				}
				slices.Reverse(played)
				for i := range played {
					s := &played[i]
					if s.read(fleet[step%2], 2); s.status != http.StatusOK && !(c.refused && s.status == http.StatusServiceUnavailable) {
						t.Errorf("step %d: %d", step, s.status)
					}
				}
			}
			for _, s := range played {
				if s.versionsOf("") > 1 {
					t.Errorf("of two versions: %q", s.wrote)
				}
			}
		})
	}
}
