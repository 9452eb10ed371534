package e2e

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// unkeyedCalls returns calls without a request key, by operation name, whose
// methods no rule declares idempotent.
func unkeyedCalls(t *testing.T) map[string]call {
	calls := map[string]call{}
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete} {
		name := newOperationName(t)
		c := job(name)
		c.method = method
		if method == http.MethodDelete {
			c.body = ""
		}
		calls[name] = c
	}
	return calls
}

// Guards against a retry of a non-idempotent call without a key whose target may
// have run it: such a call runs once and the caller is told ran UNKNOWN.
func TestCallWithoutKeyRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSize{routers: 2, zones: 2, engines: 1, services: 3}, nil)
	for _, kind := range []fault.Kind{fault.CloseBeforeAnswer, fault.Truncate} {
		for name, call := range unkeyedCalls(t) {
			a := send(c.routers[0].entry, call.withFault(kind))
			if a.err != nil || a.ran != v1.Ran_UNKNOWN {
				t.Errorf("%s after %s: %v; want ran UNKNOWN", call.method, kind, a)
			}
			is.Equal(c.ledger.Report().Runs[name], 1)
		}
	}
	// An idempotent call that fails at one target is retried at another.
	c.services[0].service.SetFaults(fault.Plan{Kind: fault.CloseBeforeAnswer, Count: fault.Always})
	for range 6 {
		get := job(newOperationName(t))
		get.method, get.body = http.MethodGet, ""
		send(c.routers[0].entry, get).expect(t, "idempotent call", v1.Code_OK, v1.Ran_YES)
	}
}

// Guards against an answer with ran UNKNOWN when the targets refuse connections: the
// call cannot have run. Once the targets accept connections again, they get calls.
func TestRefusedConnectionMeansNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSize{routers: 2, zones: 2, engines: 1, services: 2}, nil)
	for _, g := range c.services {
		g.stop()
	}
	for name, call := range unkeyedCalls(t) {
		a := send(c.routers[1].entry, call)
		if a.err != nil || a.ran != v1.Ran_NO {
			t.Errorf("%s: %v; want ran NO", call.method, a)
		}
		is.Equal(c.ledger.Report().Runs[name], 0)
	}
	for _, g := range c.services {
		g.start(t)
	}
	await(t, "the services get calls again", func() bool {
		return send(c.routers[1].entry, job(newOperationName(t))).code == v1.Code_OK
	}, func() any { return c.routers[1].status() })
}
