package scheduling

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	// reportQueueSize is the capacity of the channel of reports. A report that finds it
	// full is dropped. The holder sends another one at its next renewal.
	reportQueueSize = 1024
	// TickInterval is the time between two calls of updateHolders, and between two ticks
	// of the dealers. It is a quarter of deal.DefaultInterval, the least time between two
	// reports of a holder or two divisions of the slots by a dealer, so that each of them
	// starts soon after that time has passed.
	TickInterval = deal.DefaultInterval / 4
	// pausedAfterTicks is the number of TickIntervals without a call of updateHolders
	// after which the process counts as paused.
	pausedAfterTicks = 2
)

// Report is a report of the holder of a shard on this router to the dealer of its pool.
type Report struct {
	Shard config.Shard
	deal.Report
}

// Allotment is an allotment from a dealer to the holder of a shard on this router.
type Allotment struct {
	Shard config.Shard
	deal.Allotment
}

type allotmentsInput struct{ allotments []Allotment }

// Reports returns the channel of the reports that the holders on this router send to
// dealers.
func (h *Host) Reports() <-chan Report { return h.reports }

// ApplyAllotments passes allotments to the holders on this router. It returns as soon as
// the allotments are queued for the host's goroutine, and blocks while its queue is full.
func (h *Host) ApplyAllotments(allotments []Allotment) {
	h.post(allotmentsInput{allotments})
}

// applyAllotments passes each allotment to the holder of its shard. It ignores shards
// without a holder here, and allotments that answer a report of an earlier holder of the
// shard.
func (h *Host) applyAllotments(list []Allotment, now time.Time) {
	for _, a := range list {
		id := a.Shard.ID()
		sched, ok := h.schedulers[id]
		if !ok || sched.holder == nil || a.Answers <= sched.seqOffset {
			continue
		}
		a.Answers -= sched.seqOffset
		h.stepHolder(id, sched, now, a.Allotment)
	}
}

// configureSlots tells a shard's scheduler which slots it may use. They are the slots
// that the shard's holder gets from the dealer. If the configuration in force does not
// contain the shard, they are its part of the static division. The only shard of a pool
// uses all slots.
func (h *Host) configureSlots(id config.ID, sched *shardScheduler, targets []pool.Target, accepted *config.Accepted, now time.Time) {
	if sched.shard.Count <= 1 {
		return
	}
	if _, ok := accepted.ShardByID(id); !ok {
		sched.holder = nil
		h.step(id, now, pool.SlotsAllotted{Slots: deal.StaticDivision(targets, sched.shard.Index, sched.shard.Count)})
		return
	}
	if sched.holder == nil {
		h.startHolder(id, sched, now)
	}
	h.stepHolder(id, sched, now, deal.TargetsChanged{Targets: targets})
}

// startHolder gives the shard a new holder. The shard's scheduler has no slots until the
// holder gets its first allotment.
func (h *Host) startHolder(id config.ID, sched *shardScheduler, now time.Time) {
	sched.holder = deal.NewHolder(h.self(), sched.shard.Index, deal.Options{Shards: sched.shard.Count})
	sched.seqOffset = h.lastReportSeqs[id]
	h.step(id, now, pool.SlotsAllotted{})
}

// stepHolder passes an event to the holder of a shard. It passes the slots that the holder
// returns to the shard's scheduler, and queues the holder's reports. After a change of the
// slots, it tells the holder the new usage, without which the holder sends no report.
func (h *Host) stepHolder(id config.ID, sched *shardScheduler, now time.Time, event deal.HolderEvent) {
	changed := false
	for _, action := range sched.holder.Step(now, event) {
		switch a := action.(type) {
		case deal.SlotsChanged:
			h.step(id, now, a.SlotsAllotted)
			changed = true
		case deal.Report:
			h.queueReport(sched, a)
		}
	}
	if changed && sched.Settled() {
		h.stepHolder(id, sched, now, deal.UsageChanged{Usage: sched.Usage()})
	}
}

// queueReport queues a report for its dealer, or drops it if the queue is full. The
// dealer ignores a report whose Seq does not exceed that of an earlier one from the same
// incarnation of this router. So the numbers continue those of earlier holders of the
// shard.
func (h *Host) queueReport(sched *shardScheduler, report deal.Report) {
	report.Seq += sched.seqOffset
	h.lastReportSeqs[sched.shard.ID()] = report.Seq
	select {
	case h.reports <- Report{sched.shard, report}:
	default:
	}
}

// updateHoldersAfterPause calls updateHolders if the process was paused since the last
// call, so that the holders give up the slots of expired leases before their schedulers
// grant any of them.
func (h *Host) updateHoldersAfterPause(now time.Time) {
	if now.Sub(h.holdersUpdatedAt) > pausedAfterTicks*TickInterval {
		h.updateHolders(now)
	}
}

// updateHolders tells the holders the usage of their schedulers and the router that has
// the dealer role. While a scheduler does not yet know the requests in flight of all
// routers (pool.Scheduler.Settled), its holder only learns the time. An idle shard whose
// scheduler role is elsewhere is dropped.
func (h *Host) updateHolders(now time.Time) {
	h.holdersUpdatedAt = now
	for id, sched := range h.schedulers {
		switch {
		case sched.holder == nil:
		case !h.hasSchedulerRole(sched.shard) && h.dropIfIdle(id, sched, now):
		case !sched.Settled():
			h.stepHolder(id, sched, now, deal.Tick{})
		default:
			h.stepHolder(id, sched, now, deal.UsageChanged{Usage: sched.Usage()})
			h.stepHolder(id, sched, now, deal.DealerChanged{Dealer: h.dealerOf(sched.shard)})
		}
	}
}

// dealerOf returns the router that has the dealer role of the shard's pool in this
// region, or the zero Router if no router has it.
func (h *Host) dealerOf(shard config.Shard) pool.Router {
	fleet := h.store.Fleet()
	dealer, ok := fleet.DealerOf(shard.Pool, fleet.Self.Region)
	if !ok {
		return pool.Router{}
	}
	return pool.Router{Name: dealer.Name, Incarnation: dealer.Incarnation}
}

// retireHolder queues the last report of the shard's holder, by which the dealer learns
// that the shard is not scheduled here any more.
func (h *Host) retireHolder(sched *shardScheduler, now time.Time) {
	if sched.holder == nil {
		return
	}
	if report, ok := sched.holder.Retire(now); ok {
		h.queueReport(sched, report)
	}
}

func (h *Host) self() pool.Router {
	self := h.store.Fleet().Self
	return pool.Router{Name: self.Name, Incarnation: self.Incarnation}
}
