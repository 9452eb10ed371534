package broker

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// spare is a slot that a scheduler handed out ahead of demand.
type spare struct {
	id      uint64
	link    *link
	target  config.ID
	expires time.Time
	rate    int64
}

func (b *Broker) addSpare(l *link, s *v1.Spare, now time.Time) {
	key, ok := b.spareKey(l, config.ID(s.Pool))
	if !ok {
		l.batch.SpareReturns = append(l.batch.SpareReturns, s.Id)
		return
	}
	expires := now.Add(time.Duration(s.ExpiresMs) * time.Millisecond)
	b.spares[key] = append(b.spares[key], spare{id: s.Id, link: l, target: config.ID(s.Target), expires: expires, rate: int64(s.Rate)})
}

// spareKey finds the shard of a spare slot that came over the link.
func (b *Broker) spareKey(l *link, id config.ID) (shardKey, bool) {
	shard, ok := l.greeted[id]
	return shardKey{shard, l.member.Region}, ok
}

// useSpare starts a demand on a spare slot of the link, if there is one that
// it may use.
func (b *Broker) useSpare(r *request, l *link, now time.Time) bool {
	list := b.spares[r.key]
	if len(list) == 0 || !b.maySpare(r) {
		return false
	}
	for i, s := range list {
		if s.link != l || now.After(s.expires) || !b.spareAllowed(r, s.target) {
			continue
		}
		b.spares[r.key] = slices.Delete(list, i, i+1)
		l.batch.SpareUses = append(l.batch.SpareUses, &v1.SpareUse{Spare: s.id, Demand: b.demandMessage(r, now)})
		b.start(r, s.target, pool.Prediction{Rate: s.rate}, now)
		return true
	}
	return false
}

// spareAllowed reports whether the demand may use the target.
func (b *Broker) spareAllowed(r *request, target config.ID) bool {
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

func (b *Broker) dropSparesOf(l *link) {
	for key, list := range b.spares {
		b.spares[key] = slices.DeleteFunc(list, func(s spare) bool { return s.link == l })
	}
}

func (b *Broker) dropSparesOfShard(key shardKey) {
	for _, s := range b.spares[key] {
		s.link.batch.SpareReturns = append(s.link.batch.SpareReturns, s.id)
	}
	delete(b.spares, key)
}
