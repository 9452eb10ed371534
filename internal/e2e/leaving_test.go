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

// dropped stands for a target that the list does not hold.
const dropped = v1.InstanceState_INSTANCE_STATE_UNSPECIFIED

// publishTargetState publishes a list in which the target has the state.
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
		return instance.State == dropped
	})
	for _, r := range c.routers {
		list.Instances = append(list.Instances, r.instance())
	}
	c.platform.PublishInstances(list)
}

// servedBy sends a job and returns the service that ran it.
func servedBy(t *testing.T, r *router) string {
	t.Helper()
	a := send(r.entry, job(newOperation(t)))
	a.expect(t, "job", v1.Code_OK, v1.Ran_YES)
	var body struct{ Service string }
	if err := json.Unmarshal(a.body, &body); err != nil {
		t.Fatal(err)
	}
	return body.Service
}

// seesLeaving reports whether the router's scheduler has the target as leaving.
func seesLeaving(r *router, name string) bool {
	for _, p := range r.status().GetPools() {
		for _, target := range p.Targets {
			if target.Target == name {
				return target.Leaving
			}
		}
	}
	return false
}

// TestLeavingTargetGetsNoWork has a list that marks a target as leaving, then
// one that takes the mark back, one without the target, and then the loss of
// the scheduler: the target gets no work again.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{routers: 3, zones: 3, engines: 1, services: 2}, nil)
	leaving := c.services[0].spec.Name
	servedBy(t, c.routers[0])
	scheduler := c.schedulerOf(configtest.ServicePool)
	c.publishTargetState(leaving, v1.InstanceState_LEAVING)
	await(t, "the scheduler has the target as leaving", func() bool {
		return seesLeaving(scheduler, leaving)
	}, func() any { return scheduler.status() })
	c.publishTargetState(leaving, v1.InstanceState_LIVE)
	expectNotServedBy(t, c.routers, leaving)
	c.publishTargetState(leaving, dropped)
	await(t, "the list without the target is known", func() bool {
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

func expectNotServedBy(t *testing.T, routers []*router, name string) {
	t.Helper()
	const callsPerRouter = 10
	for _, r := range routers {
		for range callsPerRouter {
			if got := servedBy(t, r); got == name {
				t.Fatalf("%s sent a job to %s, which leaves", r.name, name)
			}
		}
	}
}
