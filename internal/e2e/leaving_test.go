package e2e

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// notListed makes publishTargetState leave the target out of the instance list.
const notListed = v1.InstanceState_INSTANCE_STATE_UNSPECIFIED

// publishTargetState publishes an instance list in which the target has the state,
// or from which it is missing if the state is notListed.
func (c *cluster) publishTargetState(name string, state v1.InstanceState) {
	c.listRevision++
	list := &v1.InstanceList{
		Revision:        c.listRevision,
		PublishedUnixMs: time.Now().UnixMilli(),
		Instances:       deployment.TargetInstances(c.configuration),
	}
	list.Instances = slices.DeleteFunc(list.Instances, func(instance *v1.Instance) bool {
		if instance.Name == name {
			instance.State = state
		}
		return instance.State == notListed
	})
	for _, r := range c.routers {
		list.Instances = append(list.Instances, r.instance())
	}
	c.platform.PublishInstances(list)
}

// servedBy sends a job through the router and returns the name of the service that
// ran it.
func servedBy(t *testing.T, r *router) string {
	t.Helper()
	a := send(r.entry, job(newOperationName(t)))
	a.expect(t, "job", v1.Code_OK, v1.Ran_YES)
	var body struct{ Service string }
	if err := json.Unmarshal(a.body, &body); err != nil {
		t.Fatal(err)
	}
	return body.Service
}

// reportsLeaving reports whether the router's status shows the target as leaving.
func reportsLeaving(r *router, name string) bool {
	for _, p := range r.status().GetPools() {
		for _, target := range p.Targets {
			if target.Target == name {
				return target.Leaving
			}
		}
	}
	return false
}

// TestLeavingTargetGetsNoWork guards against work for a target that was once marked
// as leaving. After the list that marks it, the test publishes a list in which the
// target is live again and one without the target, and then kills the scheduler.
// None of these may bring the target new work.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 1, services: 2}, nil)
	leaving := c.services[0].spec.Name
	servedBy(t, c.routers[0])
	scheduler := c.schedulerOf(configtest.ServicePool)
	c.publishTargetState(leaving, v1.InstanceState_LEAVING)
	await(t, "the scheduler reports the target as leaving", func() bool {
		return reportsLeaving(scheduler, leaving)
	}, func() any { return scheduler.status() })
	c.publishTargetState(leaving, v1.InstanceState_LIVE)
	expectNotServedBy(t, c.routers, leaving)
	c.publishTargetState(leaving, notListed)
	await(t, "the scheduler has the instance list without the target", func() bool {
		return scheduler.status().GetListRevision() == c.listRevision
	}, func() any { return scheduler.status() })
	expectNotServedBy(t, c.routers, leaving)

	scheduler.kill()
	rest := make([]*router, 0, len(c.routers))
	for _, r := range c.routers {
		if r != scheduler {
			rest = append(rest, r)
		}
	}
	expectNotServedBy(t, rest, leaving)
}

// expectNotServedBy sends jobs through each of the routers and ends the test if the
// named target runs one.
func expectNotServedBy(t *testing.T, routers []*router, name string) {
	t.Helper()
	const callsPerRouter = 10
	for _, r := range routers {
		for range callsPerRouter {
			if got := servedBy(t, r); got == name {
				t.Fatalf("%s sent a job to %s, which is leaving", r.name, name)
			}
		}
	}
}
