package scheduling

import (
	"context"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// shareInterval is the time between two exchanges with another region.
const shareInterval = time.Second

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
	shares, _ := inspect(h, func() map[string]*v1.CountersShare { return h.collectShares(time.Now()) })
	return shares
}

func (h *Host) collectShares(now time.Time) map[string]*v1.CountersShare {
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
		for _, region := range h.setRegions(id, sched, p, accepted, now) {
			for _, m := range fleet.SchedulersOf(sched.shard, region.Name, 1) {
				addShare(shares, m.PeerAddress, sharedCounters(id, fleet.Self.Region, sched))
			}
		}
	}
	return shares
}

// setRegions tells the scheduler of a shard in which other regions that of the
// same shard can be reached, and returns them.
func (h *Host) setRegions(id config.ID, sched *shardScheduler, p *v1.Pool, accepted *config.Accepted, now time.Time) []pool.Region {
	fleet := h.store.Fleet()
	regions := slices.DeleteFunc(otherRegions(p, accepted, fleet.Self.Region), func(r pool.Region) bool {
		return len(fleet.SchedulersOf(sched.shard, r.Name, 1)) == 0
	})
	h.step(id, now, pool.RegionsChanged{Regions: regions})
	return regions
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

func sharedCounters(id config.ID, region string, sched *shardScheduler) *v1.PoolCounters {
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
		h.step(id, now, pool.PeerCounters{
			Region:    c.Region,
			Epoch:     c.Epoch,
			Version:   c.Version,
			Counters:  counterEvents(c.Counters),
			FreeSlots: int(c.SpareSlots),
		})
	}
}
