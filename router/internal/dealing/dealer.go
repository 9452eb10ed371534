package dealing

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/scheduling"
)

// dealerKey identifies a dealer by its pool and the number of the pool's shards.
type dealerKey struct {
	pool   string
	shards int
}

// dealer is the dealer of one pool: it divides the pool's slots between the shards.
type dealer struct {
	*deal.Dealer
	// lastReport is the time at which the last report of any shard arrived.
	lastReport time.Time
}

// handleReport passes a report to the dealer of the shard's pool and sends the resulting
// allotments. It starts the dealer on the first report. It ignores the report if the
// configuration in force here divides the pool into another number of shards.
func (d *Host) handleReport(shard config.Shard, r deal.Report, now time.Time) {
	accepted := d.store.Config()
	p, ok := accepted.Pool(shard.Pool)
	if !ok || config.ShardCount(p) != shard.Count {
		return
	}
	key := dealerKey{shard.Pool, shard.Count}
	dealer := d.dealerFor(key, p, now)
	dealer.lastReport = now
	d.sendAllotments(key, dealer.Step(now, r))
}

// dealerFor returns the dealer with the key. It starts one if there is none.
func (d *Host) dealerFor(key dealerKey, p *v1.Pool, now time.Time) *dealer {
	if existing, ok := d.dealers[key]; ok {
		return existing
	}
	started := &dealer{Dealer: deal.NewDealer(d.self(), deal.Options{Shards: key.shards})}
	d.dealers[key] = started
	d.updateTargets(key, started, p, now)
	return started
}

// updateTargets tells a dealer the pool's targets in the region of this router.
func (d *Host) updateTargets(key dealerKey, dealer *dealer, p *v1.Pool, now time.Time) {
	targets := scheduling.TargetsOf(p, d.store.Config(), d.store.Fleet())
	d.sendAllotments(key, dealer.Step(now, deal.TargetsChanged{Targets: targets}))
}

// sendAllotments passes allotments to the holders on this router, and puts those for
// other routers into their outboxes, where they replace earlier ones of the same shard.
func (d *Host) sendAllotments(key dealerKey, allotments []deal.Allotment) {
	var own []scheduling.Allotment
	for _, a := range allotments {
		shard := config.Shard{Pool: key.pool, Index: a.Shard, Count: key.shards}
		if a.Holder == d.self() {
			own = append(own, scheduling.Allotment{Shard: shard, Allotment: a})
			continue
		}
		d.outbox(a.Holder).allotments[shard.ID()] = a
	}
	if len(own) > 0 {
		d.holders.ApplyAllotments(own)
	}
}

// reconfigure applies the configuration in force and the set of leaving targets to all
// dealers. It drops the dealers of pools that are no longer configured or whose number of
// shards has changed.
func (d *Host) reconfigure(now time.Time) {
	accepted := d.store.Config()
	for key, dealer := range d.dealers {
		p, ok := accepted.Pool(key.pool)
		if !ok || config.ShardCount(p) != key.shards {
			delete(d.dealers, key)
			continue
		}
		d.updateTargets(key, dealer, p, now)
	}
}

// tick sends a Tick event to the dealers, and drops those that have received no report for
// deal.DefaultReclaim.
func (d *Host) tick(now time.Time) {
	for key, dealer := range d.dealers {
		if now.Sub(dealer.lastReport) > deal.DefaultReclaim {
			delete(d.dealers, key)
			continue
		}
		d.sendAllotments(key, dealer.Step(now, deal.Tick{}))
	}
	d.dropOutboxes()
}
