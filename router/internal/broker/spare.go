package broker

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// spare is a slot that a scheduler has handed out before there was a demand for it. The
// router may start one demand on it until it expires.
type spare struct {
	id      uint64
	link    *link
	target  config.ID
	expires time.Time
	// rate is the cost in units that the slot is expected to serve in a second.
	rate int64
}

// addSpare stores a spare slot, or returns it if the link has sent no hello for its
// shard.
func (b *Broker) addSpare(l *link, s *v1.Spare, now time.Time) {
	key, ok := b.spareKey(l, config.ID(s.Pool))
	if !ok {
		l.batch.SpareReturns = append(l.batch.SpareReturns, s.Id)
		return
	}
	expires := now.Add(time.Duration(s.ExpiresMs) * time.Millisecond)
	b.spares[key] = append(b.spares[key], spare{id: s.Id, link: l, target: config.ID(s.Target), expires: expires, rate: int64(s.Rate)})
}

// spareKey returns the scheduler role of the shard to which a spare slot on the link
// belongs.
func (b *Broker) spareKey(l *link, id config.ID) (shardKey, bool) {
	shard, ok := l.helloSent[id]
	return shardKey{shard, l.member.Region}, ok
}

// useSpare starts a demand on a spare slot of the link and reports whether one was
// usable.
func (b *Broker) useSpare(r *request, l *link, now time.Time) bool {
	available := b.spares[r.key]
	if len(available) == 0 || !b.mayUseSpare(r) {
		return false
	}
	for i, s := range available {
		if s.link != l || now.After(s.expires) || !b.targetAllowed(r, s.target) {
			continue
		}
		b.spares[r.key] = slices.Delete(available, i, i+1)
		l.batch.SpareUses = append(l.batch.SpareUses, &v1.SpareUse{Spare: s.id, Demand: b.demandMessage(r, now)})
		b.deliverGrant(r, s.target, pool.Prediction{Rate: s.rate}, now)
		return true
	}
	return false
}

// targetAllowed reports whether the demand may use the target: it is not excluded, not
// leaving the fleet, and in the demand's data centre.
func (b *Broker) targetAllowed(r *request, target config.ID) bool {
	if slices.Contains(r.demand.Exclude, target) || b.store.Fleet().LeavingTargets[target] {
		return false
	}
	if r.demand.DataCentre == "" {
		return true
	}
	accepted := b.store.Config()
	t, ok := accepted.Target(target)
	if !ok {
		return false
	}
	z, ok := accepted.Zone(t.Zone)
	return ok && config.InDataCentre(z, r.demand.DataCentre)
}

// returnSpare returns a spare slot that its scheduler has revoked. A slot that is in
// use already is left alone.
func (b *Broker) returnSpare(l *link, id uint64) {
	for key, list := range b.spares {
		i := slices.IndexFunc(list, func(s spare) bool { return s.link == l && s.id == id })
		if i < 0 {
			continue
		}
		b.spares[key] = slices.Delete(list, i, i+1)
		l.batch.SpareReturns = append(l.batch.SpareReturns, id)
		return
	}
}

// dropExpiredSpares returns the expired spare slots to their schedulers.
func (b *Broker) dropExpiredSpares(now time.Time) {
	for key, list := range b.spares {
		b.spares[key] = slices.DeleteFunc(list, func(s spare) bool {
			if now.Before(s.expires) {
				return false
			}
			s.link.batch.SpareReturns = append(s.link.batch.SpareReturns, s.id)
			return true
		})
	}
}

// dropSparesOf forgets the spare slots of a link that was dropped.
func (b *Broker) dropSparesOf(l *link) {
	for key, list := range b.spares {
		b.spares[key] = slices.DeleteFunc(list, func(s spare) bool { return s.link == l })
	}
}

// dropSparesOfShard returns all spare slots of a shard to their schedulers.
func (b *Broker) dropSparesOfShard(key shardKey) {
	for _, s := range b.spares[key] {
		s.link.batch.SpareReturns = append(s.link.batch.SpareReturns, s.id)
	}
	delete(b.spares, key)
}
