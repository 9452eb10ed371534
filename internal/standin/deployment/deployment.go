// Package deployment runs a simulated engine or service for each target of a
// configuration, in one process and each on its own address. It also assigns zones and
// ports to the routers of a local deployment.
package deployment

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/internal/standin/serve"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// ReadConfiguration returns the serialized v1.Configuration in the file at path. It fails if the file
// cannot be read or decoded.
func ReadConfiguration(path string) (*v1.Configuration, error) {
	payload, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	configuration := &v1.Configuration{}
	if err := proto.Unmarshal(payload, configuration); err != nil {
		return nil, fmt.Errorf("decode configuration %s: %w", path, err)
	}
	return configuration, nil
}

// TargetsOfKind returns the targets in all pools of the given kind, in the order of the
// configuration.
func TargetsOfKind(c *v1.Configuration, kind v1.PoolKind) []*v1.Target {
	kindByPool := map[string]v1.PoolKind{}
	for _, p := range c.Pools {
		kindByPool[p.Name] = p.Kind
	}
	var targets []*v1.Target
	for _, t := range c.Targets {
		if kindByPool[t.Pool] == kind {
			targets = append(targets, t)
		}
	}
	return targets
}

// TargetInstances returns the targets of c as entries of an instance list, all in state LIVE.
func TargetInstances(c *v1.Configuration) []*v1.Instance {
	var instances []*v1.Instance
	for _, t := range c.Targets {
		instances = append(instances, &v1.Instance{
			Name:         t.Name,
			Zone:         t.Zone,
			EntryAddress: t.Address,
			State:        v1.InstanceState_LIVE,
			IsTarget:     true,
		})
	}
	return instances
}

// Group is a set of servers, one for each target, that stop together. It is safe for
// concurrent use.
type Group struct {
	restartDelay time.Duration

	// mu guards members, stopped and the server field of each member.
	mu      sync.Mutex
	members []*member
	stopped bool
}

// NewGroup returns an empty group. A member that crashes listens again after
// restartDelay.
func NewGroup(restartDelay time.Duration) *Group {
	return &Group{restartDelay: restartDelay}
}

// Stop closes all servers and their connections at once and prevents restarts. It
// returns the errors of all servers, joined.
func (g *Group) Stop() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	var errs []error
	for _, m := range g.members {
		if m.server != nil {
			errs = append(errs, m.server.Close())
		}
	}
	return errors.Join(errs...)
}

// start listens on the address of m and adds m to the group.
func (g *Group) start(m *member) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	server, err := serve.Start(m.address, m.handler)
	if err != nil {
		return err
	}
	m.server = server
	g.members = append(g.members, m)
	return nil
}

// crash closes the server of m and all its connections, resets the state of m and
// schedules a restart after the restart delay.
func (g *Group) crash(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped || m.server == nil {
		return
	}
	_ = m.server.Close()
	m.server = nil
	m.reset()
	time.AfterFunc(g.restartDelay, func() { g.restart(m) })
}

// restart listens on the address of m again. If that fails, it schedules another attempt
// after the restart delay.
func (g *Group) restart(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	server, err := serve.Start(m.address, m.handler)
	if err != nil {
		time.AfterFunc(g.restartDelay, func() { g.restart(m) })
		return
	}
	m.server = server
}
