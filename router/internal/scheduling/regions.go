package scheduling

import (
	"context"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// regionExchangeInterval is the time between two exchanges of counters with other
// regions.
const regionExchangeInterval = time.Second

// Caller exchanges counters with the scheduler at an address. It is called by the
// goroutine of RunRegionExchange.
type Caller interface {
	ShareCounters(ctx context.Context, address string, in *v1.CountersShare) (*v1.CountersShare, error)
}

// RunRegionExchange exchanges counters with the schedulers of the same pools in other regions
// every regionExchangeInterval: the counters of backlogged workspaces and the number of
// free slots. It returns nil when the context ends.
func (h *Host) RunRegionExchange(ctx context.Context, caller Caller) error {
	ticker := time.NewTicker(regionExchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.exchangeCounters(ctx, caller)
		case <-ctx.Done():
			return nil
		}
	}
}

// exchangeCounters calls the schedulers in other regions one after another.
func (h *Host) exchangeCounters(ctx context.Context, caller Caller) {
	for address, share := range h.countersToSend() {
		reply, err := caller.ShareCounters(ctx, address, share)
		if err != nil {
			// A failed call needs no retry: the next exchange carries the current values.
			continue
		}
		h.MergePeerCounters(reply.Pools)
	}
}

// countersToSend returns the counters to send by the address of the scheduler that gets
// them. It waits for the loop's goroutine.
func (h *Host) countersToSend() map[string]*v1.CountersShare {
	shares, _ := inspect(h, func() map[string]*v1.CountersShare { return h.collectCounters(time.Now()) })
	return shares
}

// collectCounters does the work of countersToSend in the loop's goroutine.
func (h *Host) collectCounters(now time.Time) map[string]*v1.CountersShare {
	accepted := h.store.Config()
	if accepted == nil {
		return nil
	}
	fleet := h.store.Fleet()
	shares := map[string]*v1.CountersShare{}
	for id, sched := range h.schedulers {
		p, ok := accepted.Pool(sched.shard.Pool)
		if !ok {
			continue
		}
		for _, region := range h.setRegions(id, sched, p, accepted, now) {
			for _, m := range fleet.SchedulersOf(sched.shard, region.Name, 1) {
				addCounters(shares, m.PeerAddress, peerCountersMessage(id, fleet.Self.Region, sched))
			}
		}
	}
	return shares
}

// setRegions tells the scheduler of a shard which other regions have targets of the pool
// and a reachable scheduler of the same shard, and returns these regions.
func (h *Host) setRegions(id config.ID, sched *shardScheduler, p *v1.Pool, accepted *config.Accepted, now time.Time) []pool.Region {
	fleet := h.store.Fleet()
	regions := slices.DeleteFunc(otherRegions(p, accepted, fleet.Self.Region), func(r pool.Region) bool {
		return len(fleet.SchedulersOf(sched.shard, r.Name, 1)) == 0
	})
	h.step(id, now, pool.RegionsChanged{Regions: regions})
	return regions
}

// addCounters adds the counters of one shard to the message for an address.
func addCounters(shares map[string]*v1.CountersShare, address string, message *v1.PoolCounters) {
	share, ok := shares[address]
	if !ok {
		share = &v1.CountersShare{}
		shares[address] = share
	}
	share.Pools = append(share.Pools, message)
}

// otherRegions returns the regions other than own that have targets of the pool, with the
// data centres of these targets.
func otherRegions(p *v1.Pool, accepted *config.Accepted, own string) []pool.Region {
	var regions []pool.Region
	for _, t := range accepted.TargetsOf(p.Name) {
		zone, ok := accepted.Zone(t.Zone)
		if !ok || zone.Region == own {
			continue
		}
		i := slices.IndexFunc(regions, func(r pool.Region) bool { return r.Name == zone.Region })
		if i < 0 {
			i = len(regions)
			regions = append(regions, pool.Region{Name: zone.Region})
		}
		if !slices.Contains(regions[i].DataCentres, zone.DataCentre) {
			regions[i].DataCentres = append(regions[i].DataCentres, zone.DataCentre)
		}
	}
	return regions
}

// peerCountersMessage returns the next message of a shard's scheduler for the schedulers
// of the same shard in other regions.
func peerCountersMessage(id config.ID, region string, sched *shardScheduler) *v1.PoolCounters {
	shared := sched.PeerCounters(region)
	message := &v1.PoolCounters{
		Pool:       uint32(id),
		Region:     region,
		Epoch:      shared.Epoch,
		Version:    shared.Version,
		SpareSlots: uint32(shared.FreeSlots),
	}
	for _, c := range shared.Counters {
		message.Counters = append(message.Counters, counterMessage(c))
	}
	return message
}

// MergePeerCounters queues counters of schedulers in other regions for the loop, which passes
// them to the schedulers of the same shards here.
func (h *Host) MergePeerCounters(counters []*v1.PoolCounters) {
	h.post(countersInput{counters})
}

// CountersOf returns the current counters of those shards in asked that are scheduled
// here. The result is empty if the host has stopped.
func (h *Host) CountersOf(asked []*v1.PoolCounters) *v1.CountersShare {
	share, ok := inspect(h, func() *v1.CountersShare { return h.buildCounters(asked) })
	if !ok {
		return &v1.CountersShare{}
	}
	return share
}

// buildCounters does the work of CountersOf in the loop's goroutine.
func (h *Host) buildCounters(asked []*v1.PoolCounters) *v1.CountersShare {
	share := &v1.CountersShare{}
	region := h.store.Fleet().Self.Region
	for _, c := range asked {
		if sched, ok := h.schedulers[config.ID(c.Pool)]; ok {
			share.Pools = append(share.Pools, peerCountersMessage(config.ID(c.Pool), region, sched))
		}
	}
	return share
}

// mergePeerCounters passes the counters of schedulers in other regions to the schedulers
// of the same shards here.
func (h *Host) mergePeerCounters(list []*v1.PoolCounters, now time.Time) {
	for _, c := range list {
		id := config.ID(c.Pool)
		if _, ok := h.schedulers[id]; !ok {
			continue
		}
		h.step(id, now, pool.PeerCounters{
			Region:    c.Region,
			Epoch:     c.Epoch,
			Version:   c.Version,
			Counters:  counterEvents(c.Counters),
			FreeSlots: int(c.SpareSlots),
		})
	}
}
