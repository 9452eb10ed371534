// Package pool decides which waiting demand of one pool of targets gets which
// free slot.
//
// A Scheduler is a state machine: Step takes an event and the time, and returns
// actions. Between workspaces the order is that of package fairshare, within a
// workspace it is earliest deadline first.
package pool

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Router identifies one incarnation of an entry router.
type Router struct {
	Name        string
	Incarnation uint64
}

// DemandID identifies a demand. Seq is unique within the router's incarnation.
type DemandID struct {
	Router Router
	Seq    uint64
}

// Target describes a target of the pool as configured and listed.
type Target struct {
	ID         config.ID
	Zone       string
	DataCentre string
	// Slots is the number of requests admitted at the same time.
	Slots int
	// Speed is relative to other targets of the pool; 1 is the reference.
	Speed float64
	// Leaving is set when the target must receive no new work.
	Leaving bool
}

// Workspace describes a workspace as configured.
type Workspace struct {
	ID    config.ID
	Share uint32
	// MaxQueued and MaxQueuedBytes bound its waiting demands.
	MaxQueued      int
	MaxQueuedBytes int64
	// DataCentre restricts it to targets of one side; empty allows all.
	DataCentre string
}

// InFlight is a granted demand that its router still serves.
type InFlight struct {
	ID        DemandID
	Workspace config.ID
	Target    config.ID
	// Digest is that of the demand, zero once the first byte of the answer came.
	Digest uint32
	// Charged is the cost charged so far in cost units.
	Charged int64
	// Rate is that of the demand's Prediction.
	Rate int64
}

// Counter is the service that a workspace received divided by its share, in
// 1/fairshare.Scale cost units.
type Counter struct {
	Workspace  config.ID
	Value      uint64
	Backlogged bool
}

// Event is an input of Scheduler.Step.
type Event interface{ event() }

// Action is an output of Scheduler.Step.
type Action interface{ action() }

// TargetsChanged replaces the targets of the pool.
type TargetsChanged struct{ Targets []Target }

// WorkspacesChanged replaces the workspaces that may use the pool.
type WorkspacesChanged struct{ Workspaces []Workspace }

// ConfigurationChanged replaces both. A waiting demand is refused only if no
// target can serve it once both are in force.
type ConfigurationChanged struct {
	Targets    []Target
	Workspaces []Workspace
}

// RouterJoined opens a router's stream. It carries the state that the router
// holds, from which a scheduler without memory is rebuilt. A router that joins
// again replaces its earlier stream: demands it does not send again are gone,
// and the spare slots it held are void.
type RouterJoined struct {
	Router   Router
	Zone     string
	InFlight []InFlight
	Counters []Counter
}

// RouterLost closes a router's stream. Its waiting demands are dropped; its
// granted slots stay busy until the grant's hold time is over or the router
// joins again.
type RouterLost struct{ Router Router }

// Demand asks for one slot.
type Demand struct {
	ID        DemandID
	Workspace config.ID
	// Estimate is the hinted cost in cost units; zero means none.
	Estimate int64
	// Deadline is the latest time of a grant.
	Deadline time.Time
	// Prefix identifies the prompt prefix for affinity; zero means none.
	Prefix uint32
	// Digest identifies the request's content. While no target has answered a
	// request, its copies are sent to targets one at a time. Zero sets no bound.
	Digest    uint32
	BodyBytes int64
	// Exclude holds targets on which attempts of the request failed.
	Exclude []config.ID
	// Moved is set for a demand that came from another region, as a tied demand or for
	// want of a target there. It is not tied again.
	Moved bool
}

// Cancel withdraws a waiting demand. A demand that was granted meanwhile is
// ended by Done.
type Cancel struct{ ID DemandID }

// Progress reports the cost so far of a granted demand.
type Progress struct {
	ID   DemandID
	Cost int64
}

// Done ends a granted demand with its final cost.
type Done struct {
	ID          DemandID
	Cost        int64
	Outcome     v1.Outcome
	ServiceTime time.Duration
	// Unresolved is how long a request that was given up may still be executed.
	Unresolved time.Duration
}

// FirstByte tells that the answer to a granted demand has begun. It follows
// AskFirstByte.
type FirstByte struct{ ID DemandID }

// TargetReport reports that a target is unreachable from a router, or is
// reachable again.
type TargetReport struct {
	Router Router
	Target config.ID
	Down   bool
}

// SpareUsed starts a demand on a spare slot.
type SpareUsed struct {
	Spare  uint64
	Demand Demand
}

// SpareReturned gives a spare slot back unused.
type SpareReturned struct {
	Router Router
	Spare  uint64
}

// PeerCounters carries the counters of the same pool's scheduler in another
// region: of the workspaces that are backlogged there or here.
type PeerCounters struct {
	Region string
	// Epoch differs between schedulers of the region. Version grows with each
	// message of one scheduler, so that late ones are known.
	Epoch      uint64
	Version    uint64
	Counters   []Counter
	SpareSlots int
}

// Region is another region that has targets of the pool.
type Region struct {
	Name string
	// DataCentres are those of the targets.
	DataCentres []string
}

// RegionsChanged replaces the other regions whose scheduler of the pool can be
// reached. Copies of waiting demands are sent to them. It is due once in each
// exchange interval.
type RegionsChanged struct{ Regions []Region }

// Tick lets time pass. It is due at Scheduler.NextTick.
type Tick struct{}

// Grant assigns a slot of a target to a demand.
type Grant struct {
	ID     DemandID
	Target config.ID
	// Estimate and Rate are those of the Prediction that is charged. Progress
	// below it changes nothing, and InFlight.Charged follows it.
	Estimate int64
	Rate     int64
}

// AskFirstByte asks the router of an admitted demand for FirstByte, as copies of
// the request wait for it.
type AskFirstByte struct{ ID DemandID }

// Refuse ends a demand that is not granted.
type Refuse struct {
	ID         DemandID
	Code       v1.Code
	RetryAfter time.Duration
}

// Tie asks the router to send a waiting demand to the pool's scheduler in
// another region as well. The demand goes on waiting here. The router takes the
// first grant and withdraws the demand elsewhere.
type Tie struct {
	ID     DemandID
	Region string
}

// HandSpare hands a slot to a router ahead of demand. The router uses it for
// any workspace that may use the target. The high 32 bits of Spare are the
// target's ID.
type HandSpare struct {
	Router  Router
	Spare   uint64
	Target  config.ID
	Expires time.Time
	// Rate is that of Prediction for a demand on the slot.
	Rate int64
}

// RevokeSpare asks for a spare slot back. The router answers with
// SpareReturned, or has sent SpareUsed already.
type RevokeSpare struct {
	Router Router
	Spare  uint64
}

func (TargetsChanged) event()       {}
func (WorkspacesChanged) event()    {}
func (ConfigurationChanged) event() {}
func (RouterJoined) event()         {}
func (RouterLost) event()           {}
func (Demand) event()               {}
func (Cancel) event()               {}
func (Progress) event()             {}
func (Done) event()                 {}
func (FirstByte) event()            {}
func (TargetReport) event()         {}
func (SpareUsed) event()            {}
func (SpareReturned) event()        {}
func (PeerCounters) event()         {}
func (RegionsChanged) event()       {}
func (Tick) event()                 {}

func (Grant) action()        {}
func (Refuse) action()       {}
func (AskFirstByte) action() {}
func (Tie) action()          {}
func (HandSpare) action()    {}
func (RevokeSpare) action()  {}
