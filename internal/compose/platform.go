package compose

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/rollout"
)

// Names and bounds in the published configuration.
const (
	poolName       = configtest.ServicePool
	workspaceCount = 2
	MaxQueued      = 6
	slotsPerTarget = 2
	retryPercent   = 20
	// retryBurst and retryFloor, per second, are small so that the budget binds.
	retryBurst = 4.0
	retryFloor = 0.5
	firstPort  = 7200
	// maxListLag bounds the age of a list that the platform returns.
	maxListLag = 2 * time.Second
)

var workspaceNames = [workspaceCount]string{"small", "large"}

// Platform publishes configurations and the instance list.
type Platform struct {
	sim *Simulation
	// Down makes all calls fail; DownFor those of one zone.
	Down        bool
	DownForZone map[string]bool
	// StaleSince, if set, makes the platform answer as it did at that time.
	StaleSince time.Time
	// ListLag is how late changes of instances are listed.
	ListLag time.Duration

	configs []publication
	lists   []listRevision
}

// publication is a configuration and when it was published.
type publication struct {
	offer       rollout.Offer
	publishedAt time.Time
	// version is zero for a configuration that is not acceptable.
	version rollout.Version
}

// listRevision is a revision of the instance list and since when it is true.
type listRevision struct {
	list        *v1.InstanceList
	publishedAt time.Time
}

func newPlatform(sim *Simulation) *Platform {
	return &Platform{sim: sim, DownForZone: map[string]bool{}}
}

// Publish publishes a configuration. One that is not valid must be refused by
// all routers.
func (p *Platform) Publish(valid bool) {
	message := p.configuration()
	if !valid {
		message.Workspaces[0].Share = 0
		message.Workspaces[0].Name = ""
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		p.sim.fail("marshal configuration: %v", err)
	}
	revision := uint64(len(p.configs) + 1)
	next := publication{offer: rollout.Offer{Revision: revision, Payload: payload, Source: rollout.Platform}, publishedAt: p.sim.now}
	accepted, err := config.Accept(revision, payload)
	if (err == nil) != valid {
		p.sim.fail("acceptance of revision %d: %v", revision, err)
	}
	if err == nil {
		next.version = rollout.Version{Revision: revision, Digest: accepted.Digest}
	}
	p.configs = append(p.configs, next)
}

func (p *Platform) configuration() *v1.Configuration {
	c := configtest.Valid()
	c.Deployment = fmt.Sprintf("%s-%d", c.Deployment, len(p.configs)+1)
	c.Zones = nil
	for i := range p.sim.opts.Zones {
		c.Zones = append(c.Zones, &v1.Zone{Name: zoneName(i), Region: configtest.Region})
	}
	c.Targets[0].Zone = zoneName(0)
	c.Targets = c.Targets[:1]
	for i, t := range p.sim.Targets {
		c.Targets = append(c.Targets, &v1.Target{
			Name: t.name, Pool: poolName, Zone: t.zone, Address: fmt.Sprintf("127.0.0.1:%d", firstPort+i), Slots: slotsPerTarget, SpeedPercent: 100,
		})
	}
	for _, w := range c.Workspaces {
		w.MaxQueuedRequests = MaxQueued
	}
	return c
}

// newestAcceptable returns the newestAcceptable acceptable configuration.
func (p *Platform) newestAcceptable() publication {
	i := len(p.configs) - 1
	for p.configs[i].version.Revision == 0 {
		i--
	}
	return p.configs[i]
}

// reachable returns whether the platform answers a zone.
func (p *Platform) reachable(zone string) bool {
	return !p.Down && !p.DownForZone[zone]
}

// provides returns whether a read from a zone brings a version. A stale replica
// does not count: a router ignores what is older than what it has judged.
func (p *Platform) provides(zone string, version rollout.Version) bool {
	return p.reachable(zone) && p.StaleSince.IsZero() && p.publicationAt(p.servedTime()).version == version
}

// servedTime returns the servedTime as of which the platform answers.
func (p *Platform) servedTime() time.Time {
	if p.StaleSince.IsZero() {
		return p.sim.now
	}
	return p.StaleSince
}

// publicationAt returns what was newest at a time.
func (p *Platform) publicationAt(at time.Time) publication {
	i := len(p.configs) - 1
	for i > 0 && p.configs[i].publishedAt.After(at) {
		i--
	}
	return p.configs[i]
}

// listAt returns the instance listAt of a time, as it was a little earlier.
func (p *Platform) listAt(at time.Time) *v1.InstanceList {
	i := len(p.lists) - 1
	for i > 0 && p.lists[i].publishedAt.After(at) {
		i--
	}
	l := p.lists[i]
	age := max(min(at.Sub(l.publishedAt), maxListLag), 0)
	list := proto.CloneOf(l.list)
	list.AsOfUnixMs = at.Add(-time.Duration(p.sim.rng.Int64N(int64(age) + 1))).UnixMilli()
	list.PublishedUnixMs = l.publishedAt.UnixMilli()
	return list
}

// instancesChanged makes the platform list the present instances, after its lag.
func (p *Platform) instancesChanged() {
	p.sim.after(nil, p.ListLag, p.publishList)
}

func (p *Platform) publishList() {
	instances := p.instances()
	if n := len(p.lists); n > 0 && slices.EqualFunc(p.lists[n-1].list.Instances, instances, equalInstance) {
		return
	}
	list := &v1.InstanceList{Revision: uint64(len(p.lists) + 1), Instances: instances}
	p.lists = append(p.lists, listRevision{list: list, publishedAt: p.sim.now})
}

func equalInstance(a, b *v1.Instance) bool { return proto.Equal(a, b) }

func (p *Platform) instances() []*v1.Instance {
	var list []*v1.Instance
	for _, r := range p.sim.Routers {
		if !r.alive {
			continue
		}
		instance := proto.CloneOf(r.instance)
		if r.stopping {
			instance.State = v1.InstanceState_LEAVING
		}
		list = append(list, instance)
	}
	for _, t := range p.sim.Targets {
		list = append(list, t.instance())
	}
	return list
}

// Heal ends the platform's failures.
func (p *Platform) Heal() {
	p.Down, p.StaleSince, p.ListLag = false, time.Time{}, 0
	p.DownForZone = map[string]bool{}
}
