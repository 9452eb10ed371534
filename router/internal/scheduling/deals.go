package scheduling

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	// reportLimit bounds the reports that wait to be sent. Those beyond are
	// dropped and told again.
	reportLimit = 1024
	// HolderTick is how often holders learn what their schedulers use, and
	// dealers that time passes: several times in the interval of both, so that
	// little of it is lost at its end.
	HolderTick = deal.DefaultInterval / 4
	// pauseTicks is the number of ticks without one after which the process
	// counts as paused.
	pauseTicks = 2
)

// Report is what the holder of a shard here tells the pool's dealer.
type Report struct {
	Shard config.Shard
	deal.Report
}

// Allotment is what a dealer gives a shard here.
type Allotment struct {
	Shard config.Shard
	deal.Allotment
}

type allotmentsInput struct{ allotments []Allotment }

// Reports returns the reports of the shards that are scheduled here.
func (h *Host) Reports() <-chan Report { return h.reports }

// Allotted hands allotments to the shards that are scheduled here.
func (h *Host) Allotted(allotments []Allotment) {
	h.post(allotmentsInput{allotments})
}

func (h *Host) allotted(list []Allotment, now time.Time) {
	for _, a := range list {
		id := a.Shard.ID()
		sched, ok := h.pools[id]
		if !ok || sched.holder == nil || a.Answers <= sched.firstSeq {
			continue
		}
		a.Answers -= sched.firstSeq
		h.stepHolder(id, sched, now, a.Allotment)
	}
}

// configureSlots gives a shard the slots that it may use: those that its holder
// gets from the dealer, or its part of the equal division if the configuration
// in force does not have the shard.
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

func (h *Host) startHolder(id config.ID, sched *shardScheduler, now time.Time) {
	sched.holder = deal.NewHolder(h.self(), sched.shard.Index, deal.Options{Shards: sched.shard.Count})
	sched.firstSeq = h.reportSeqs[id]
	h.step(id, now, pool.SlotsAllotted{})
}

func (h *Host) stepHolder(id config.ID, sched *shardScheduler, now time.Time, event deal.HolderEvent) {
	changed := false
	for _, action := range sched.holder.Step(now, event) {
		switch a := action.(type) {
		case deal.SlotsChanged:
			h.step(id, now, a.SlotsAllotted)
			changed = true
		case deal.Report:
			h.report(sched, a)
		}
	}
	if changed && sched.Settled() {
		h.stepHolder(id, sched, now, deal.UsageChanged{Usage: sched.Usage()})
	}
}

// report passes a report on. Its number goes on from those of earlier holders
// of the shard here, as the dealer knows them by their incarnation.
func (h *Host) report(sched *shardScheduler, report deal.Report) {
	report.Seq += sched.firstSeq
	h.reportSeqs[sched.shard.ID()] = report.Seq
	select {
	case h.reports <- Report{sched.shard, report}:
	default:
	}
}

// lapseHolders lets holders lower their slots before their schedulers grant, if
// the process was paused since they were told last.
func (h *Host) lapseHolders(now time.Time) {
	if now.Sub(h.holdersAt) > pauseTicks*HolderTick {
		h.tellHolders(now)
	}
}

// tellHolders tells the holders what their schedulers use, but for one that
// waits for the routers' requests in flight.
func (h *Host) tellHolders(now time.Time) {
	h.holdersAt = now
	for id, sched := range h.pools {
		switch {
		case sched.holder == nil:
		case !h.isHolder(sched.shard) && h.dropIdle(id, sched, now):
		case !sched.Settled():
			h.stepHolder(id, sched, now, deal.Tick{})
		default:
			h.stepHolder(id, sched, now, deal.UsageChanged{Usage: sched.Usage()})
			h.stepHolder(id, sched, now, deal.DealerChanged{Dealer: h.dealerOf(sched.shard)})
		}
	}
}

// dealerOf returns the dealer of the shard's pool in the own region.
func (h *Host) dealerOf(shard config.Shard) pool.Router {
	fleet := h.store.Fleet()
	dealer, ok := fleet.DealerOf(shard.Pool, fleet.Self.Region)
	if !ok {
		return pool.Router{}
	}
	return pool.Router{Name: dealer.Name, Incarnation: dealer.Incarnation}
}

// retire tells the dealer that the shard is not scheduled here any more.
func (h *Host) retire(sched *shardScheduler, now time.Time) {
	if sched.holder == nil {
		return
	}
	if report, ok := sched.holder.Retire(now); ok {
		h.report(sched, report)
	}
}

func (h *Host) self() pool.Router {
	self := h.store.Fleet().Self
	return pool.Router{Name: self.Name, Incarnation: self.Incarnation}
}
