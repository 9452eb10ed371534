package scheduling

import (
	"context"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// shareInterval is the time between two exchanges with another region.
	shareInterval = time.Second
	// shareMinChange is the service in cost units at share 1 from which on a
	// counter is sent again.
	shareMinChange = 1
)

// Sharer swaps counters with the scheduler at an address.
type Sharer interface {
	ShareCounters(ctx context.Context, address string, in *v1.CountersShare) (*v1.CountersShare, error)
}

// RunRegions is the duty that swaps the counters of backlogged workspaces and
// the number of free slots with the schedulers of the same pools in other
// regions.
func (h *Host) RunRegions(ctx context.Context, sharer Sharer) error {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.shareAll(ctx, sharer)
		case <-ctx.Done():
			return nil
		}
	}
}

func (h *Host) shareAll(ctx context.Context, sharer Sharer) {
	for address, share := range h.shares() {
		reply, err := sharer.ShareCounters(ctx, address, share)
		if err != nil {
			// The next exchange carries the values anew.
			continue
		}
		h.PeerCounters(reply.Pools)
	}
}

// shares returns what to send, by the address of the scheduler that gets it.
func (h *Host) shares() map[string]*v1.CountersShare {
	shares, _ := inspect(h, h.collectShares)
	return shares
}

func (h *Host) collectShares() map[string]*v1.CountersShare {
	accepted := h.store.Config()
	if accepted == nil {
		return nil
	}
	fleet := h.store.Fleet()
	shares := map[string]*v1.CountersShare{}
	for id, sched := range h.pools {
		p, ok := accepted.Pool(sched.shard.Pool)
		if !ok {
			continue
		}
		regions := otherRegions(p, accepted, fleet.Self.Region)
		if len(regions) == 0 {
			continue
		}
		message := sharedCounters(id, fleet.Self.Region, sched)
		for _, region := range regions {
			for _, m := range fleet.SchedulersOf(sched.shard, region, 1) {
				addShare(shares, m.PeerAddress, message)
			}
		}
	}
	return shares
}

func addShare(shares map[string]*v1.CountersShare, address string, message *v1.PoolCounters) {
	share, ok := shares[address]
	if !ok {
		share = &v1.CountersShare{}
		shares[address] = share
	}
	share.Pools = append(share.Pools, message)
}

// otherRegions returns the regions with targets of the pool but for own.
func otherRegions(p *v1.Pool, accepted *config.Accepted, own string) []string {
	var regions []string
	for _, t := range accepted.TargetsOf(p.Name) {
		zone, ok := accepted.Zone(t.Zone)
		if ok && zone.Region != own && !slices.Contains(regions, zone.Region) {
			regions = append(regions, zone.Region)
		}
	}
	return regions
}

func sharedCounters(id config.ID, region string, sched *shardScheduler) *v1.PoolCounters {
	shared := sched.PeerCounters(region, shareMinChange)
	message := &v1.PoolCounters{Pool: uint32(id), Region: region, SpareSlots: uint32(shared.SpareSlots)}
	for _, c := range shared.Counters {
		message.Counters = append(message.Counters, counterMessage(c))
	}
	return message
}

// PeerCounters handles counters of schedulers in other regions.
func (h *Host) PeerCounters(counters []*v1.PoolCounters) {
	h.post(countersInput{counters})
}

// CountersOf returns the counters of the pools that are scheduled here among
// those asked for.
func (h *Host) CountersOf(asked []*v1.PoolCounters) *v1.CountersShare {
	share, ok := inspect(h, func() *v1.CountersShare { return h.countersOf(asked) })
	if !ok {
		return &v1.CountersShare{}
	}
	return share
}

func (h *Host) countersOf(asked []*v1.PoolCounters) *v1.CountersShare {
	share := &v1.CountersShare{}
	region := h.store.Fleet().Self.Region
	for _, c := range asked {
		if sched, ok := h.pools[config.ID(c.Pool)]; ok {
			share.Pools = append(share.Pools, sharedCounters(config.ID(c.Pool), region, sched))
		}
	}
	return share
}

// peerCounters merges the counters of schedulers in other regions.
func (h *Host) peerCounters(list []*v1.PoolCounters, now time.Time) {
	for _, c := range list {
		id := config.ID(c.Pool)
		if _, ok := h.pools[id]; !ok {
			continue
		}
		if h.spares[id] == nil {
			h.spares[id] = map[string]int{}
		}
		h.spares[id][c.Region] = int(c.SpareSlots)
		h.step(id, now, pool.PeerCounters{
			Region:     c.Region,
			Counters:   counterEvents(c.Counters),
			SpareSlots: int(c.SpareSlots),
		})
		h.moveWaiting(id, now)
	}
}

// freed counts a slot of another region that a moved demand has left.
func (h *Host) freed(id config.ID, region string, now time.Time) {
	if spares, ok := h.spares[id]; ok {
		spares[region]++
		h.moveWaiting(id, now)
	}
}

// moveWaiting moves waiting demands to regions with free slots, one for each
// slot.
func (h *Host) moveWaiting(id config.ID, now time.Time) {
	sched, ok := h.pools[id]
	if !ok || sched.Queued() == 0 {
		return
	}
	// Demands whose deadline is over must not count as moved.
	h.step(id, now, pool.Tick{})
	for region, free := range h.spares[id] {
		if free <= 0 {
			continue
		}
		before := sched.Queued()
		h.step(id, now, pool.Overflow{Region: region, DataCentres: h.dataCentres(id, region), Slots: free})
		h.spares[id][region] -= before - sched.Queued()
	}
}

// dataCentres returns those of the region's targets of the pool.
func (h *Host) dataCentres(id config.ID, region string) []string {
	accepted := h.store.Config()
	shard, ok := h.shardOf(id)
	if !ok {
		return nil
	}
	var list []string
	for _, t := range accepted.TargetsOf(shard.Pool) {
		zone, ok := accepted.Zone(t.Zone)
		if ok && zone.Region == region && !slices.Contains(list, zone.DataCentre) {
			list = append(list, zone.DataCentre)
		}
	}
	return list
}
