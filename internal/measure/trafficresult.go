package measure

import (
	"maps"
	"slices"
)

// reset starts the figures anew.
func (t *trafficRun) reset() {
	t.requests, t.reports, t.grants, t.spareUses, t.counterBytes = 0, 0, 0, 0, 0
	t.eachSession(func(s *session) {
		*s.up.sender, *s.up.receiver, *s.down.sender, *s.down.receiver = traffic{}, traffic{}, traffic{}, traffic{}
	})
}

func (t *trafficRun) eachSession(fn func(*session)) {
	for i, r := range t.routers {
		for _, holder := range slices.Sorted(maps.Keys(r.sessions)) {
			if holder != i {
				fn(r.sessions[holder])
			}
		}
	}
}

// holders counts the routers that hold a role.
func (t *trafficRun) holders() int {
	holders := map[int]bool{}
	for _, p := range t.pools {
		holders[p.holder] = true
	}
	return len(holders)
}

func (t *trafficRun) result() Traffic {
	elapsed := (trafficEnd - trafficStart).Seconds()
	var entry, hot, others traffic
	t.eachSession(func(s *session) {
		both := s.up.sender.plus(*s.down.receiver)
		entry = entry.plus(both)
		if s.holder == t.pools[0].holder {
			hot = hot.plus(both)
		} else {
			others = others.plus(both)
		}
	})
	shard, maxShard := t.shardTraffic()
	requests := float64(max(t.requests, 1))
	return Traffic{
		Entry:      rateOf(entry, elapsed*float64(len(t.routers))),
		Holder:     rateOf(hot, elapsed),
		Other:      rateOf(others, elapsed*float64(max(t.holders()-1, 1))),
		Shard:      rateOf(shard, elapsed*float64(len(t.hot))),
		MaxShard:   rateOf(maxShard, elapsed),
		PerRequest: rateOf(entry, requests),
		Counters:   float64(successors*t.counterBytes) / elapsed,
		Reports:    float64(t.reports) / requests,
		Grants:     float64(t.grants) / requests,
		SpareUses:  float64(t.spareUses) / requests,
		Requests:   t.requests,
	}
}

// shardTraffic returns the sum over the holders of the first pool's shards, and
// the largest of them.
func (t *trafficRun) shardTraffic() (sum, most traffic) {
	holders := map[int]traffic{}
	t.eachSession(func(s *session) {
		holders[s.holder] = holders[s.holder].plus(s.up.sender.plus(*s.down.receiver))
	})
	for _, p := range t.hot {
		held := holders[p.holder]
		sum = sum.plus(held)
		if held.payload+held.segments*segmentHeader > most.payload+most.segments*segmentHeader {
			most = held
		}
	}
	return sum, most
}
