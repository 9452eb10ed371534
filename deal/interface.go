package deal

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// Holding is the number of slots of a target that a shard holds and uses.
type Holding struct {
	Target config.ID
	// Slots is the number of slots that the shard's scheduler may give to demands.
	Slots int
	// Busy is the number of slots in use, including spare slots that were handed out. It exceeds
	// Slots after the allotment was lowered, until requests end.
	Busy int
}

// Report is what the holder of a shard tells the dealer.
type Report struct {
	Shard  int
	Holder pool.Router
	// Seq numbers the reports of the holder, starting at 1.
	Seq uint64
	// Dealer is the dealer that the report is for. Version is the version of the last allotment
	// from that dealer that the holder has applied, zero if there is none. It confirms that
	// allotment and all earlier ones.
	Dealer  pool.Router
	Version uint64
	// Backlogs has at most one entry for each data centre.
	Backlogs []pool.Backlog
	// Holdings contains the targets of which slots are held or in use, ordered by ID.
	Holdings []Holding
	// Rate is the service of the shard in cost units a second.
	Rate uint64
	// Retired is set in the last report of a holder whose router has given up the role of the
	// shard: it grants nothing more, and its requests in flight go on.
	Retired bool
}

// Allotment gives the holder of a shard slots for the time of the lease. It replaces the
// allotment before it.
type Allotment struct {
	Shard  int
	Holder pool.Router
	Dealer pool.Router
	// Version numbers the allotments of the dealer, starting at 1.
	Version uint64
	// Answers is the Seq of the last report of the holder that the dealer has taken in. The lease
	// starts at the time at which that report was sent.
	Answers uint64
	// Slots is the number of slots by target. The holder has no slots of absent targets.
	Slots map[config.ID]int
	// Yield is the number of these slots, by data centre, that the holder is to give up: those
	// that come free first.
	Yield map[string]int
	// Scarce is set while the shards need more slots than there are. Holders then report
	// smaller changes of their need without waiting for the next renewal.
	Scarce bool
}

// TargetsChanged replaces the targets of the pool. Slots of targets that are leaving are not
// dealt.
type TargetsChanged struct{ Targets []pool.Target }

// DealerChanged names the router that has the dealer role, as the router of the holder sees it.
type DealerChanged struct{ Dealer pool.Router }

// UsageChanged tells the holder which slots its scheduler uses and needs. The holder gets the
// first one once a router has joined the scheduler, and a further one soon after each
// SlotsChanged. It sends no Report before the first UsageChanged, nor between a SlotsChanged and
// the next UsageChanged.
type UsageChanged struct{ Usage pool.Usage }

// Tick lets time pass. It is due each Options.Interval.
type Tick struct{}

// DealerEvent is an input of Dealer.Step: Report, TargetsChanged or Tick.
type DealerEvent interface{ dealerEvent() }

// HolderEvent is an input of Holder.Step: Allotment, TargetsChanged, DealerChanged, UsageChanged
// or Tick.
type HolderEvent interface{ holderEvent() }

// HolderAction is an output of Holder.Step: Report or SlotsChanged.
type HolderAction interface{ holderAction() }

// SlotsChanged sets the number of slots of each target that the shard's scheduler may use.
type SlotsChanged struct{ pool.SlotsAllotted }

func (Report) dealerEvent()         {}
func (TargetsChanged) dealerEvent() {}
func (Tick) dealerEvent()           {}

func (Allotment) holderEvent()      {}
func (TargetsChanged) holderEvent() {}
func (DealerChanged) holderEvent()  {}
func (UsageChanged) holderEvent()   {}
func (Tick) holderEvent()           {}

func (Report) holderAction()       {}
func (SlotsChanged) holderAction() {}

// Defaults of the fields of Options.
const (
	DefaultInterval = 100 * time.Millisecond
	DefaultRenewal  = time.Second
	DefaultLease    = 4 * time.Second
	DefaultReclaim  = 8 * time.Second
	DefaultSettle   = 500 * time.Millisecond
	DefaultHorizon  = 20 * time.Second
)

// Options are the settings of a pool's dealer and holders, which must be the same on all
// routers. The zero value of a field selects its default.
type Options struct {
	// Shards is the number of shards of the pool.
	Shards int
	// Interval is the least time between two reports of a holder and between two divisions of
	// the slots.
	Interval time.Duration
	// Renewal is the greatest time between two reports of a holder.
	Renewal time.Duration
	// Lease is how long an allotment holds after the report that it answers was sent.
	Lease time.Duration
	// Reclaim is the time after the last report of a holder at which its slots are dealt again if
	// no other holder of the shard has reported. It must exceed Lease.
	Reclaim time.Duration
	// Settle is the time from the first UsageChanged of a holder to its first report. Routers use
	// it to tell the holder's scheduler which requests they have in flight.
	Settle time.Duration
	// Horizon is the lag behind the mean level, or the lead before it, at which the correction of
	// a shard's weight reaches its limit. It is given as the time in which a counter rises by that
	// much at the mean rate.
	Horizon time.Duration
}

func (o Options) withDefaults() Options {
	o.Shards = max(o.Shards, 1)
	o.Interval = orDefault(o.Interval, DefaultInterval)
	o.Renewal = orDefault(o.Renewal, DefaultRenewal)
	o.Lease = orDefault(o.Lease, DefaultLease)
	o.Reclaim = orDefault(o.Reclaim, DefaultReclaim)
	o.Settle = orDefault(o.Settle, DefaultSettle)
	o.Horizon = orDefault(o.Horizon, DefaultHorizon)
	return o
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}
