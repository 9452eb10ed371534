package dealing

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/scheduling"
)

// dealerKey names the dealer of a pool under a number of shards.
type dealerKey struct {
	pool   string
	shards int
}

// dealer is the dealer of a pool.
type dealer struct {
	*deal.Dealer
	// lastReport is when a shard reported last.
	lastReport time.Time
}

// report gives a report to the dealer of the shard's pool, which starts with
// the first one.
func (d *Duty) report(shard config.Shard, r deal.Report, now time.Time) {
	accepted := d.store.Config()
	p, ok := accepted.Pool(shard.Pool)
	if !ok || config.ShardCount(p) != shard.Count {
		return
	}
	key := dealerKey{shard.Pool, shard.Count}
	dealer := d.dealer(key, p, now)
	dealer.lastReport = now
	d.send(key, dealer.Step(now, r))
}

func (d *Duty) dealer(key dealerKey, p *v1.Pool, now time.Time) *dealer {
	if existing, ok := d.dealers[key]; ok {
		return existing
	}
	started := &dealer{Dealer: deal.NewDealer(d.self(), deal.Options{Shards: key.shards})}
	d.dealers[key] = started
	d.retarget(key, started, p, now)
	return started
}

func (d *Duty) retarget(key dealerKey, dealer *dealer, p *v1.Pool, now time.Time) {
	targets := scheduling.TargetsOf(p, d.store.Config(), d.store.Fleet())
	d.send(key, dealer.Step(now, deal.TargetsChanged{Targets: targets}))
}

// send passes allotments to the holders, here or on other routers.
func (d *Duty) send(key dealerKey, allotments []deal.Allotment) {
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
		d.holders.Allotted(own)
	}
}

// reconfigure applies the configuration and the leaving targets to all dealers,
// and drops those of pools that are divided in another way.
func (d *Duty) reconfigure(now time.Time) {
	accepted := d.store.Config()
	for key, dealer := range d.dealers {
		p, ok := accepted.Pool(key.pool)
		if !ok || config.ShardCount(p) != key.shards {
			delete(d.dealers, key)
			continue
		}
		d.retarget(key, dealer, p, now)
	}
}

// tick lets the dealers deal, and drops those to which nobody reports any more.
func (d *Duty) tick(now time.Time) {
	for key, dealer := range d.dealers {
		if now.Sub(dealer.lastReport) > deal.DefaultReclaim {
			delete(d.dealers, key)
			continue
		}
		d.send(key, dealer.Step(now, deal.Tick{}))
	}
	d.dropOutboxes()
}
