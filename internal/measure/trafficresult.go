package measure

import (
	"maps"
	"slices"
)

// reset clears all counts, so that the results start at the current time.
func (t *trafficRun) reset() {
	t.requests, t.reports, t.grants, t.spareUses, t.counterBytes = 0, 0, 0, 0, 0
	t.eachSession(func(s *session) {
		*s.up.sender, *s.up.receiver, *s.down.sender, *s.down.receiver = traffic{}, traffic{}, traffic{}, traffic{}
	})
}

// eachSession calls fn for each stream between two different routers.
func (t *trafficRun) eachSession(fn func(*session)) {
	for i, r := range t.routers {
		for _, holder := range slices.Sorted(maps.Keys(r.sessions)) {
			if holder != i {
				fn(r.sessions[holder])
			}
		}
	}
}

// holderCount returns the number of routers that have a role.
func (t *trafficRun) holderCount() int {
	holders := map[int]bool{}
	for _, p := range t.pools {
		holders[p.holder] = true
	}
	return len(holders)
}

// result returns the traffic since the last reset.
func (t *trafficRun) result() Traffic {
	elapsed := (trafficEnd - trafficStart).Seconds()
	var entry, hot, others traffic
	t.eachSession(func(s *session) {
		exchanged := s.up.sender.plus(*s.down.receiver)
		entry = entry.plus(exchanged)
		if s.holder == t.pools[0].holder {
			hot = hot.plus(exchanged)
		} else {
			others = others.plus(exchanged)
		}
	})
	shard, maxShard := t.shardTraffic()
	requests := float64(max(t.requests, 1))
	return Traffic{
		Entry:      newRate(entry, elapsed*float64(len(t.routers))),
		Holder:     newRate(hot, elapsed),
		Other:      newRate(others, elapsed*float64(max(t.holderCount()-1, 1))),
		Shard:      newRate(shard, elapsed*float64(len(t.shards))),
		MaxShard:   newRate(maxShard, elapsed),
		PerRequest: newRate(entry, requests),
		Counters:   float64(successors*t.counterBytes) / elapsed,
		Reports:    float64(t.reports) / requests,
		Grants:     float64(t.grants) / requests,
		SpareUses:  float64(t.spareUses) / requests,
		Requests:   t.requests,
	}
}

// shardTraffic returns the sum of the traffic of the first pool's shards' holders, and the
// largest traffic of one of them. A holder counts once for each of its shards.
func (t *trafficRun) shardTraffic() (sum, largest traffic) {
	holders := map[int]traffic{}
	t.eachSession(func(s *session) {
		holders[s.holder] = holders[s.holder].plus(s.up.sender.plus(*s.down.receiver))
	})
	for _, p := range t.shards {
		total := holders[p.holder]
		sum = sum.plus(total)
		if total.payload+total.segments*segmentHeaderBytes > largest.payload+largest.segments*segmentHeaderBytes {
			largest = total
		}
	}
	return sum, largest
}
