// Package config decodes, validates and indexes the dynamic configuration of a deployment. A
// configuration is accepted or rejected as a whole and is immutable afterwards.
//
// Whether a payload is accepted depends on its bytes alone, so all routers accept the same
// revisions.
package config

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// MaxPayloadBytes is the largest payload that Accept decodes. The platform's configuration
// service stores values up to this size.
const MaxPayloadBytes = 1 << 20

// ErrPayloadTooLarge is returned by Accept for a payload longer than MaxPayloadBytes.
var ErrPayloadTooLarge = errors.New("configuration is larger than 1048576 bytes")

// ID identifies a workspace, a pool, a shard or a target in messages between routers. It is the
// low 32 bits of the xxHash64 of the name. Validate rejects a configuration in which two
// workspaces, two pools or shards, or two targets have the same ID.
type ID uint32

// IDOf returns the ID of a workspace, pool or target name. Shard.ID returns that of a shard.
func IDOf(name string) ID {
	return ID(xxhash.Sum64String(name))
}

// Digest is a SHA-256 digest, of a published payload or of a bearer token.
type Digest [sha256.Size]byte

// Accepted is a validated configuration with its indexes. It is immutable and safe for
// concurrent use.
type Accepted struct {
	Revision uint64
	Digest   Digest
	// Payload is the published bytes. Peers that fetch the configuration get them unchanged.
	Payload []byte
	Proto   *v1.Configuration

	workspacesByToken map[Digest]*v1.Workspace
	workspaces        map[ID]*v1.Workspace
	pools             map[string]*v1.Pool
	poolsByID         map[ID]*v1.Pool
	shards            map[ID]Shard
	targets           map[ID]*v1.Target
	targetsByPool     map[string][]*v1.Target
	zones             map[string]*v1.Zone
	classes           map[string]*v1.DeadlineClass
}

// Accept decodes, validates and indexes a published payload. It returns ErrPayloadTooLarge for
// a payload over the limit, a decoding error for a payload that is no Configuration message,
// and FieldErrors for one that decodes but is invalid.
func Accept(revision uint64, payload []byte) (*Accepted, error) {
	if len(payload) > MaxPayloadBytes {
		return nil, ErrPayloadTooLarge
	}
	message := &v1.Configuration{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	if errs := Validate(message); len(errs) > 0 {
		return nil, errs
	}
	accepted := &Accepted{
		Revision: revision,
		Digest:   sha256.Sum256(payload),
		Payload:  payload,
		Proto:    message,
	}
	accepted.index()
	return accepted, nil
}

// index builds the maps that the look-up methods use.
func (a *Accepted) index() {
	a.workspacesByToken = map[Digest]*v1.Workspace{}
	a.workspaces = map[ID]*v1.Workspace{}
	for _, w := range a.Proto.Workspaces {
		a.workspaces[IDOf(w.Name)] = w
		for _, digest := range w.TokenSha256 {
			a.workspacesByToken[Digest(digest)] = w
		}
	}
	a.pools = map[string]*v1.Pool{}
	a.poolsByID = map[ID]*v1.Pool{}
	for _, p := range a.Proto.Pools {
		a.pools[p.Name] = p
		a.poolsByID[IDOf(p.Name)] = p
	}
	a.indexShards()
	a.targets = map[ID]*v1.Target{}
	a.targetsByPool = map[string][]*v1.Target{}
	for _, t := range a.Proto.Targets {
		a.targets[IDOf(t.Name)] = t
		a.targetsByPool[t.Pool] = append(a.targetsByPool[t.Pool], t)
	}
	a.zones = map[string]*v1.Zone{}
	for _, z := range a.Proto.Zones {
		a.zones[z.Name] = z
	}
	a.classes = map[string]*v1.DeadlineClass{}
	for _, c := range a.Proto.Classes {
		a.classes[c.Name] = c
	}
}

// WorkspaceByToken returns the workspace whose token digests include that of the bearer token.
func (a *Accepted) WorkspaceByToken(token string) (*v1.Workspace, bool) {
	w, ok := a.workspacesByToken[sha256.Sum256([]byte(token))]
	return w, ok
}

// Workspace returns the workspace whose name has the ID.
func (a *Accepted) Workspace(id ID) (*v1.Workspace, bool) {
	w, ok := a.workspaces[id]
	return w, ok
}

// Pool returns the pool of that name.
func (a *Accepted) Pool(name string) (*v1.Pool, bool) {
	p, ok := a.pools[name]
	return p, ok
}

// PoolByID returns the pool whose name has the ID.
func (a *Accepted) PoolByID(id ID) (*v1.Pool, bool) {
	p, ok := a.poolsByID[id]
	return p, ok
}

// Target returns the target whose name has the ID.
func (a *Accepted) Target(id ID) (*v1.Target, bool) {
	t, ok := a.targets[id]
	return t, ok
}

// TargetsOf returns the targets of the named pool in configuration order. Callers must not
// change the slice.
func (a *Accepted) TargetsOf(pool string) []*v1.Target {
	return a.targetsByPool[pool]
}

// Zone returns the availability zone of that name.
func (a *Accepted) Zone(name string) (*v1.Zone, bool) {
	z, ok := a.zones[name]
	return z, ok
}

// InDataCentre reports whether an availability zone is in the data centre to which a workspace
// is restricted. Workspaces are restricted during a migration between data centres. An empty
// dataCentre stands for no restriction.
func InDataCentre(zone *v1.Zone, dataCentre string) bool {
	return dataCentre == "" || zone.DataCentre == dataCentre
}

// Class returns the deadline class of that name.
func (a *Accepted) Class(name string) (*v1.DeadlineClass, bool) {
	c, ok := a.classes[name]
	return c, ok
}
