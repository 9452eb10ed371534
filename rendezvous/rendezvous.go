// Package rendezvous assigns keys to members by rendezvous hashing, also known as
// highest-random-weight hashing (Thaler and Ravishankar, 1998).
//
// The score of a member for a key is the xxHash64 of the key, a zero byte and
// the member's name. The member with the highest score owns the key; equal
// scores are ordered by name. Two callers with the same set of members compute
// the same owner, whatever the order of their lists. When a member is removed,
// only the keys that it owned get a new owner. When a member is added, only the
// keys that it now owns get a new owner.
//
// All functions are pure, leave their arguments unchanged and are safe for
// concurrent use. Owner and Rank compute one hash per member.
package rendezvous

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// separator stands between key and member in the hashed bytes.
const separator = "\x00"

type scoredMember struct {
	member string
	score  uint64
}

// Owner returns the member with the highest score for key. It returns false if
// members is empty.
func Owner(key string, members []string) (string, bool) {
	if len(members) == 0 {
		return "", false
	}
	best := scoredMember{member: members[0], score: Score(key, members[0])}
	for _, m := range members[1:] {
		s := scoredMember{member: m, score: Score(key, m)}
		if compare(s, best) < 0 {
			best = s
		}
	}
	return best.member, true
}

// Rank returns the n members with the highest scores for key in descending order,
// the owner first. It returns all members if there are fewer than n.
func Rank(key string, members []string, n int) []string {
	ranked := make([]scoredMember, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, scoredMember{member: m, score: Score(key, m)})
	}
	slices.SortFunc(ranked, compare)
	n = max(0, min(n, len(ranked)))
	names := make([]string, 0, n)
	for _, s := range ranked[:n] {
		names = append(names, s.member)
	}
	return names
}

// Score returns the rendezvous score of member for key: the xxHash64 of key, a zero
// byte and member.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// WriteString on a Digest always returns a nil error.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// compare sorts members by descending score, and members of equal score by name.
func compare(a, b scoredMember) int {
	if a.score != b.score {
		if a.score > b.score {
			return -1
		}
		return 1
	}
	return strings.Compare(a.member, b.member)
}
