// Package pool schedules the requests of several workspaces on the slots of one
// pool of targets.
//
// A Scheduler is a state machine: Step takes an event and the current time, and
// returns actions for routers. A router sends a Demand for each request. The
// scheduler answers with a Grant, which assigns a slot of a target, or with a
// Refuse. A free slot goes to the backlogged workspace with the least service
// counter (package fairshare), and within that workspace to the demand with the
// earliest deadline.
//
// Three mechanisms extend this:
//
//   - Spare slots are granted to a router before it has a demand for them, so
//     that a request starts without a round trip to the scheduler (HandSpare).
//   - The first waiting demands of a workspace wait in other regions as well, as
//     tied requests: the first grant is used and the others are withdrawn (Tie).
//     See Dean and Barroso, "The Tail at Scale", CACM 2013.
//   - Few copies of one request run until a target has answered one of them,
//     because the request may crash its targets (Demand.Digest).
package pool

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Router identifies one run of an entry router. A later run has a greater
// Incarnation. While its stream is open, RouterJoined of an earlier run is ignored.
type Router struct {
	Name        string
	Incarnation uint64
}

// DemandID identifies a demand. Seq is unique within the router's incarnation.
type DemandID struct {
	Router Router
	Seq    uint64
}

// Target describes a target of the pool that is configured and listed.
type Target struct {
	ID         config.ID
	Zone       string
	DataCentre string
	// Slots is the number of requests that the target serves at the same time.
	Slots int
	// Speed is relative to other targets of the pool; 1 is the reference.
	Speed float64
	// Leaving is set while the target must receive no new requests.
	Leaving bool
}

// Workspace holds the scheduling settings of a workspace.
type Workspace struct {
	ID config.ID
	// Share is the weight of the workspace; zero counts as one.
	Share uint32
	// MaxQueued bounds the number of demands that wait, and MaxQueuedBytes the sum
	// of their BodyBytes. Zero selects the defaults of 1024 and 64 MiB.
	MaxQueued      int
	MaxQueuedBytes int64
	// DataCentre restricts the workspace to the targets of one data centre; empty
	// allows all.
	DataCentre string
}

// InFlight is a granted demand that its router still serves. Routers send it in
// RouterJoined.
type InFlight struct {
	ID        DemandID
	Workspace config.ID
	Target    config.ID
	// Digest is Demand.Digest, or zero once the first byte of the answer has
	// arrived.
	Digest uint32
	// Charged is the cost charged so far in cost units.
	Charged int64
	// Rate is Prediction.Rate of the demand in cost units a second.
	Rate int64
}

// Counter is the service that a workspace received divided by its share. Value is
// in 1/fairshare.Scale cost units.
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

// ConfigurationChanged replaces targets and workspaces in one step. A waiting
// demand is refused for want of a target only if none can serve it once both are
// in force. With two separate events, the demands of a workspace that moves
// together with its targets would be refused between them.
type ConfigurationChanged struct {
	Targets    []Target
	Workspaces []Workspace
}

// RouterJoined opens a router's stream. It carries the state that the router
// holds, from which an empty scheduler is rebuilt. If the router had a stream
// before, the new one replaces it: the scheduler drops the waiting demands, which
// the router sends again, and frees the router's spare slots.
type RouterJoined struct {
	Router   Router
	Zone     string
	InFlight []InFlight
	Counters []Counter
}

// RouterLost closes a router's stream. The router's waiting demands are dropped.
// The slots of its granted demands stay busy until Options.HoldTime is over, or
// until the router joins again and reports which demands it still serves.
type RouterLost struct{ Router Router }

// Demand asks for one slot to run one request.
type Demand struct {
	ID        DemandID
	Workspace config.ID
	// Estimate is the request's hint of its cost in cost units; zero means none.
	// It can lower the estimate that the workspace's history gives, not raise it.
	Estimate int64
	// Deadline is the latest time of a grant. Zero, or a time beyond
	// Options.MaxWait, stands for Options.MaxWait from now.
	Deadline time.Time
	// Prefix identifies the prompt prefix; zero means none. Demands with equal
	// prefixes prefer the targets that served the prefix before.
	Prefix uint32
	// Digest identifies the request's content. Demands with equal digests are
	// copies of one request. While no target has answered a copy, the others are
	// granted one at a time, see maxUnanswered. Zero sets no bound.
	Digest uint32
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// Exclude holds the targets on which earlier attempts of the request failed.
	Exclude []config.ID
	// Moved is set for a demand that a router sent here from another region, as a
	// tied demand or because that region has no target for it. It is not tied
	// again.
	Moved bool
}

// Cancel withdraws a waiting demand. It does not end a demand that was granted
// meanwhile; the router ends that one with Done.
type Cancel struct{ ID DemandID }

// Progress reports the cost so far of a granted demand in cost units.
type Progress struct {
	ID   DemandID
	Cost int64
}

// Done ends a granted demand. For a demand that still waits it acts as Cancel.
type Done struct {
	ID DemandID
	// Cost is the final cost in cost units.
	Cost    int64
	Outcome v1.Outcome
	// ServiceTime is how long the target served the request. Zero stands for the
	// time since the grant.
	ServiceTime time.Duration
	// Unresolved is how long the target may still execute a request that the
	// router has given up.
	Unresolved time.Duration
}

// FirstByte reports that the answer to a granted demand has begun. Routers send
// it after AskFirstByte.
type FirstByte struct{ ID DemandID }

// TargetReport reports that a router cannot reach a target, or reaches it again.
// It applies to all routers of the same zone.
type TargetReport struct {
	Router Router
	Target config.ID
	Down   bool
}

// SpareUsed reports that a router has started a demand on a spare slot.
type SpareUsed struct {
	Spare  uint64
	Demand Demand
}

// SpareReturned returns a spare slot that the router has not used.
type SpareReturned struct {
	Router Router
	Spare  uint64
}

// PeerCounters carries the counters of the scheduler of the same pool in another
// region, for the workspaces that are backlogged there or here.
type PeerCounters struct {
	Region string
	// Epoch differs between successive schedulers of the region. Version grows
	// with each message of one scheduler, so that a message that arrives late or
	// twice is recognised and ignored.
	Epoch    uint64
	Version  uint64
	Counters []Counter
	// FreeSlots is the number of slots that are free in the region.
	FreeSlots int
}

// Region is another region that has targets of the same pool.
type Region struct {
	Name string
	// DataCentres are the data centres of these targets.
	DataCentres []string
}

// RegionsChanged replaces the list of other regions whose scheduler of the pool
// can be reached. Waiting demands wait in these regions as well, see Tie. The
// caller sends the event at each interval at which the regions exchange
// PeerCounters, also if the list is the same, because the scheduler counts
// withdrawn tied demands per interval.
type RegionsChanged struct{ Regions []Region }

// Tick carries no input: Step runs only the timers that are due. The caller sends
// it at the time that Scheduler.NextTick returns.
type Tick struct{}

// Grant assigns a slot of a target to a demand.
type Grant struct {
	ID     DemandID
	Target config.ID
	// Estimate (cost units) and Rate (cost units a second) are those of the
	// Prediction by which the scheduler charges the demand. A Progress whose cost
	// is below the cost predicted to be served changes nothing. InFlight.Charged
	// follows the same prediction.
	Estimate int64
	Rate     int64
}

// AskFirstByte asks a router to send FirstByte for a demand, because copies of the
// same request wait for the answer.
type AskFirstByte struct{ ID DemandID }

// Refuse ends a demand without a grant.
type Refuse struct {
	ID   DemandID
	Code v1.Code
	// RetryAfter suggests how long to wait before sending the request again.
	RetryAfter time.Duration
}

// Tie asks a router to send a waiting demand to the scheduler of the same pool in
// another region as well. The demand goes on waiting here. The router uses the
// first grant and withdraws the demand from the other scheduler.
type Tie struct {
	ID     DemandID
	Region string
}

// HandSpare grants a slot to a router before the router has a demand for it. The
// router may use it for any workspace that may use the target. Spare identifies
// the slot; its high 32 bits are the target's ID.
type HandSpare struct {
	Router Router
	Spare  uint64
	Target config.ID
	// Expires is the time after which the router must not use the slot.
	Expires time.Time
	// Rate is Prediction.Rate for a demand on the slot, in cost units a second.
	Rate int64
}

// RevokeSpare asks a router to return a spare slot. The router answers with
// SpareReturned, unless it has sent SpareUsed already.
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
