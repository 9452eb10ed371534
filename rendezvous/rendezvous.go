// Package rendezvous places keys on members by highest-random-weight hashing
// (Thaler and Ravishankar, 1998).
//
// The score of a member for a key is the xxHash64 of the key, a zero byte and
// the member's name. The member with the highest score owns the key; equal
// scores are ordered by name. Two callers that see the same members compute
// the same owner, whatever the order in which they list them. When a member
// leaves, only the keys that it owned move; when one joins, only the keys that
// it gains move.
//
// All functions are pure, leave their arguments unchanged and are safe for
// concurrent use. A call costs one hash a member.
package rendezvous

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const separator = "\x00"

type scored struct {
	member string
	score  uint64
}

// Owner returns the member that owns key. It returns false when there are no
// members.
func Owner(key string, members []string) (string, bool) {
	if len(members) == 0 {
		return "", false
	}
	best := scored{member: members[0], score: Score(key, members[0])}
	for _, m := range members[1:] {
		s := scored{member: m, score: Score(key, m)}
		if compare(s, best) < 0 {
			best = s
		}
	}
	return best.member, true
}

// Rank returns the first n members for key, the owner first. It returns all
// members when there are fewer than n.
func Rank(key string, members []string, n int) []string {
	ranked := make([]scored, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, scored{member: m, score: Score(key, m)})
	}
	slices.SortFunc(ranked, compare)
	n = max(0, min(n, len(ranked)))
	names := make([]string, 0, n)
	for _, s := range ranked[:n] {
		names = append(names, s.member)
	}
	return names
}

// Score returns the weight of member for key.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// compare orders by descending score, then by name.
func compare(a, b scored) int {
	if a.score != b.score {
		if a.score > b.score {
			return -1
		}
		return 1
	}
	return strings.Compare(a.member, b.member)
}
