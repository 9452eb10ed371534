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

// Names and limits in the published configuration.
const (
	poolName       = configtest.ServicePool
	workspaceCount = 2
	// MaxQueued bounds the queued requests of each workspace.
	MaxQueued      = 6
	slotsPerTarget = 2
	// retryPercent is the number of retries allowed for 100 requests. retryBurst, in
	// retries, and retryFloor, in retries a second, are added to it. They are small so
	// that the simulated failures exhaust the retry budget.
	retryPercent = 20
	retryBurst   = 4.0
	retryFloor   = 0.5
	firstPort    = 7200
	// maxListLag bounds how far the as-of time of a list that the platform returns lies
	// in the past.
	maxListLag = 2 * time.Second
)

var workspaceNames = [workspaceCount]string{"small", "large"}

// Platform simulates the platform, which publishes configurations and the instance list.
type Platform struct {
	sim *Simulation
	// Down makes all calls to the platform fail. DownForZone does so for the calls from
	// the routers of single zones.
	Down        bool
	DownForZone map[string]bool
	// StaleSince, if set, makes the platform serve what was newest at that time, as a
	// stale replica does.
	StaleSince time.Time
	// ListLag is the delay from a change of an instance to the list that shows it.
	ListLag time.Duration

	// configs and lists hold all revisions, oldest first.
	configs []publication
	lists   []listRevision
}

// publication is a published configuration revision.
type publication struct {
	offer       rollout.Offer
	publishedAt time.Time
	// version is zero for a configuration that routers must reject.
	version rollout.Version
}

// listRevision is a revision of the instance list and the time of its publication.
type listRevision struct {
	list        *v1.InstanceList
	publishedAt time.Time
}

func newPlatform(sim *Simulation) *Platform {
	return &Platform{sim: sim, DownForZone: map[string]bool{}}
}

// Publish publishes the next configuration revision. If valid is false, the revision is
// one that all routers must reject.
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
	next := publication{
		offer: rollout.Offer{Revision: revision, Payload: payload, Source: rollout.Platform}, publishedAt: p.sim.now}
	accepted, err := config.Accept(revision, payload)
	if (err == nil) != valid {
		p.sim.fail("revision %d was wrongly accepted or rejected: %v", revision, err)
	}
	if err == nil {
		next.version = rollout.Version{Revision: revision, Digest: accepted.Digest}
	}
	p.configs = append(p.configs, next)
}

// configuration returns a valid configuration that differs from all earlier ones.
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
			Name: t.name, Pool: poolName, Zone: t.zone, Address: fmt.Sprintf("127.0.0.1:%d", firstPort+i),
			Slots: slotsPerTarget, SpeedPercent: 100,
		})
	}
	for _, w := range c.Workspaces {
		w.MaxQueuedRequests = MaxQueued
	}
	return c
}

// newestAcceptable returns the newest configuration that routers must accept.
func (p *Platform) newestAcceptable() publication {
	i := len(p.configs) - 1
	for p.configs[i].version.Revision == 0 {
		i--
	}
	return p.configs[i]
}

// reachable returns whether the platform answers calls from a zone.
func (p *Platform) reachable(zone string) bool {
	return !p.Down && !p.DownForZone[zone]
}

// provides returns whether a read from a zone returns the version. It returns false for a
// stale replica, because a router ignores a revision that is older than one that it has
// accepted or rejected.
func (p *Platform) provides(zone string, version rollout.Version) bool {
	return p.reachable(zone) && p.StaleSince.IsZero() && p.publicationAt(p.servedTime()).version == version
}

// servedTime returns the time for which the platform serves the state.
func (p *Platform) servedTime() time.Time {
	if p.StaleSince.IsZero() {
		return p.sim.now
	}
	return p.StaleSince
}

// publicationAt returns the configuration that was newest at a time.
func (p *Platform) publicationAt(at time.Time) publication {
	i := len(p.configs) - 1
	for i > 0 && p.configs[i].publishedAt.After(at) {
		i--
	}
	return p.configs[i]
}

// listAt returns the instance list that was newest at a time. The as-of time in the list
// is up to maxListLag earlier than that time, but not earlier than the publication.
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

// instancesChanged publishes the instance list after ListLag.
func (p *Platform) instancesChanged() {
	p.sim.after(nil, p.ListLag, p.publishList)
}

// publishList publishes a list of the present instances if they differ from those of the
// newest list.
func (p *Platform) publishList() {
	instances := p.instances()
	if n := len(p.lists); n > 0 && slices.EqualFunc(p.lists[n-1].list.Instances, instances, equalInstance) {
		return
	}
	list := &v1.InstanceList{Revision: uint64(len(p.lists) + 1), Instances: instances}
	p.lists = append(p.lists, listRevision{list: list, publishedAt: p.sim.now})
}

func equalInstance(a, b *v1.Instance) bool { return proto.Equal(a, b) }

// instances returns the routers that have not ended and all targets.
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

// Heal ends all failures of the platform.
func (p *Platform) Heal() {
	p.Down, p.StaleSince, p.ListLag = false, time.Time{}, 0
	p.DownForZone = map[string]bool{}
}
