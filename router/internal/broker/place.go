package broker

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// place sends a waiting demand to the scheduler of its shard, or starts it on a
// spare slot.
func (b *Broker) place(r *request, now time.Time) {
	if r.original != nil && !b.takesTies(r, now) {
		b.dropTie(r)
		return
	}
	r.key = b.keyOf(r.demand)
	l := b.linkFor(r.key, now)
	if l == nil && r.away() {
		b.returnHome(r, now)
		return
	}
	if l == nil {
		b.refuse(r, result.New(v1.Code_NO_TARGET, v1.Ran_NO, "no router of region %q can be reached", r.demand.Region))
		return
	}
	r.link = l
	l.lastUsed = now
	if b.useSpare(r, l, now) {
		return
	}
	l.batch.Demands = append(l.batch.Demands, b.demandMessage(r, now))
}

func (b *Broker) demandMessage(r *request, now time.Time) *v1.Demand {
	wait := max(r.demand.Deadline.Sub(now), 0)
	d := &v1.Demand{
		Seq:       r.seq,
		Pool:      uint32(r.key.shard.ID()),
		Workspace: uint32(r.demand.Workspace),
		Estimate:  r.demand.Estimate,
		WaitMs:    uint32(wait.Milliseconds()),
		Prefix:    r.demand.Prefix,
		Digest:    r.demand.Digest,
		BodyBytes: r.demand.BodyBytes,
		Moved:     r.demand.moved,
		Trace:     r.demand.Trace,
	}
	for _, target := range r.demand.Exclude {
		d.Exclude = append(d.Exclude, uint32(target))
	}
	return d
}

// moveToRegion places a demand in a region with targets for it, or again in its
// own if no router of that region can be reached.
func (b *Broker) moveToRegion(r *request, region string) {
	r.demand.moved = true
	r.demand.Region = region
	b.number(r)
	b.place(r, time.Now())
}

// otherRegionOf returns another region with targets for the demand by the
// configuration in force, in which its workspace may belong to another data
// centre than when the demand was made.
func (b *Broker) otherRegionOf(r *request) (string, bool) {
	accepted := b.store.Config()
	w, ok := accepted.Workspace(r.demand.Workspace)
	if !ok {
		return "", false
	}
	for _, t := range accepted.TargetsOf(r.demand.Pool) {
		zone, ok := accepted.Zone(t.Zone)
		if !ok || zone.Region == r.demand.Region || slices.Contains(r.demand.Exclude, config.IDOf(t.Name)) {
			continue
		}
		if config.InDataCentre(zone, w.DataCentre) {
			r.demand.DataCentre = w.DataCentre
			return zone.Region, true
		}
	}
	return "", false
}

// returnHome places a demand that was moved, and that the other region cannot
// serve, in its own region again.
func (b *Broker) returnHome(r *request, now time.Time) {
	r.demand.Region = r.home
	b.number(r)
	b.place(r, now)
}

// away reports whether the demand is in another region than its own.
func (r *request) away() bool { return r.demand.Region != r.home }
