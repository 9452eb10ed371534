// Package configcheck checks a configuration of routes, services, limits and workspaces before
// it is sent to the routers. It finds mistakes, entries that can never match a request and limits
// that contradict each other, and lists the differences from the configuration in force.
//
// It is independent of the format of the configuration: each value carries its path and line in
// the file, which findings repeat.
package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// Position is the place of a value in the file.
type Position struct {
	// Path leads to the value, for instance "routes[3].prefix".
	Path string
	// Line is that of the value, or that of the object to which it belongs if the file does not
	// state it.
	Line int
}

// Field is a value that the file may state.
type Field[T any] struct {
	Position
	Value T
	// Set is set if the file states the value.
	Set bool
}

// Configuration describes the contents of one file.
type Configuration struct {
	Version    Field[int64]
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
	// WorkspacesAt is the position of the list of workspaces. Set is false if there is none;
	// requests then need no key.
	WorkspacesAt Field[struct{}]
	Unread       Unread
}

// Unread holds a digest of each field of an object that routers do not read, by its name.
type Unread map[string][sha256.Size]byte

// Route describes a route, as routing.Route does. Durations and counts may be negative.
type Route struct {
	Position
	Name, Host, Prefix Field[string]
	// Kind is the name of the kind in the file.
	Kind Field[string]
	// Known is set if routers know the kind, Stream if answers are streams of events, and Repeatable
	// if requests may run more than once.
	Known, Stream, Repeatable bool
	Resumable                 Field[bool]
	// Service is the only service, Split several with their weights. Split is used if both are set.
	Service                                      Field[string]
	Split                                        Field[[]Share]
	Timeout, LatencyObjective, EventGapObjective Field[time.Duration]
	MaxAttempts                                  Field[int64]
	Anonymous                                    Field[bool]
	// Regions are nil if all are allowed.
	Regions Field[routing.Regions]
	Unread  Unread
}

// atMostOnce reports whether requests that may have run are not sent to another target.
func (r *Route) atMostOnce() bool {
	return r.Known && !r.Repeatable && !(r.Stream && r.Resumable.Value)
}

// Share is a service of a route and its relative weight.
type Share struct {
	Service Field[string]
	Weight  Field[float64]
	Unread  Unread
}

// Service describes a service.
type Service struct {
	Position
	Name Field[string]
	// Engine is nil if the targets are no model engines.
	Engine        *Engine
	ColdStart     Field[time.Duration]
	ColdPerSecond Field[float64]
	// StatusPath is the path of the status check.
	StatusPath Field[string]
	Unread     Unread
}

// Engine describes the engines of a service.
type Engine struct {
	Slots, KVCacheTokens    Field[int64]
	TokenBytes, LinkMegabit Field[float64]
	Unread                  Unread
}

// Limits describes the limits.
type Limits struct {
	HeaderBytes, BodyBytes     Field[int64]
	HeaderTimeout, IdleTimeout Field[time.Duration]
	TokensPerSecond            Field[float64]
	Unread                     Unread
}

// Workspace describes a workspace.
type Workspace struct {
	Position
	Name Field[string]
	Keys []Field[KeyDigest]
	// KeysAt is the position of the list of keys.
	KeysAt  Position
	Regions Field[routing.Regions]
	Unread  Unread
}

// KeyDigest stands for an API key, which is a secret.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// keyNameBytes is the part of a digest that names a key to the operator.
const keyNameBytes = 4

// String returns the start of the digest in hexadecimal.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:keyNameBytes])
}
