package broker

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// submit starts a waiting demand on a spare slot if it may use one, and otherwise sends
// it to the scheduler of its shard.
func (b *Broker) submit(r *request, now time.Time) {
	if r.original != nil && !b.canServeTie(r, now) {
		b.dropTie(r)
		return
	}
	r.key = b.keyOf(r.demand)
	l := b.linkFor(r.key, now)
	if l == nil && r.outsideHomeRegion() {
		b.returnToHomeRegion(r, now)
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

// moveToRegion sends a demand to another region that has targets for it. If no router
// of that region can be reached, submit sends it to its home region again.
func (b *Broker) moveToRegion(r *request, region string) {
	r.demand.moved = true
	r.demand.Region = region
	b.assignSeq(r)
	b.submit(r, time.Now())
}

// otherRegionOf returns another region that has a target for the demand in the
// configuration in force. The workspace may belong to another data centre by now than
// when the demand was made; if a region is found, the demand's data centre is updated.
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

// returnToHomeRegion sends a demand to its home region again because the region to
// which it was moved cannot serve it.
func (b *Broker) returnToHomeRegion(r *request, now time.Time) {
	r.demand.Region = r.homeRegion
	b.assignSeq(r)
	b.submit(r, now)
}

func (r *request) outsideHomeRegion() bool { return r.demand.Region != r.homeRegion }
