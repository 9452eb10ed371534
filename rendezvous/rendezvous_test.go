package rendezvous_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	"github.com/chiveseam/chiveseam/rendezvous"
)

// members returns n distinct member names.
func members(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("router-%d", i)
	}
	return names
}

func ExampleOwner() {
	owner, ok := rendezvous.Owner("pool/chat", []string{"a", "b", "c"})
	without := slices.DeleteFunc([]string{"a", "b", "c"}, func(m string) bool { return m == owner })
	next, _ := rendezvous.Owner("pool/chat", without)
	fmt.Println(ok, next == rendezvous.Rank("pool/chat", []string{"c", "b", "a"}, 2)[1])
	// Output: true true
}

func TestOwnerOfNoMembers(t *testing.T) {
	_, ok := rendezvous.Owner("key", nil)
	is.New(t).True(!ok)
}

// TestKeysSpreadEvenly guards against a hash that favours some members: the number of
// keys that a member owns is within six standard deviations of the mean.
func TestKeysSpreadEvenly(t *testing.T) {
	const keys, n = 33_000, 33
	counts := map[string]int{}
	for i := range keys {
		owner, _ := rendezvous.Owner(fmt.Sprintf("key-%d", i), members(n))
		counts[owner]++
	}
	is := is.New(t)
	for _, m := range members(n) {
		is.True(counts[m] > 810 && counts[m] < 1190) // mean 1000, standard deviation 31
	}
}

// TestMemberOrderDoesNotMatter guards against owners that depend on the order of the
// member list: two routers that list the members differently would send a key to
// different owners.
func TestMemberOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		ms := members(rapid.IntRange(1, 40).Draw(t, "members"))
		shuffled := slices.Clone(ms)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(ms), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		a, b := rendezvous.Rank(key, ms, len(ms)), rendezvous.Rank(key, shuffled, len(ms))
		owner, _ := rendezvous.Owner(key, shuffled)
		if !slices.Equal(a, b) || owner != a[0] {
			t.Fatalf("rank %v, shuffled %v, owner %s", a, b, owner)
		}
	})
}

// TestRemovalMovesOnlyKeysOfRemovedMember checks that removing a member leaves the
// rank of the others unchanged, so that only the keys of the removed member move.
func TestRemovalMovesOnlyKeysOfRemovedMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		ms := members(rapid.IntRange(2, 40).Draw(t, "members"))
		before := rendezvous.Rank(key, ms, len(ms))
		removed := rapid.IntRange(0, len(ms)-1).Draw(t, "removed")
		after := rendezvous.Rank(key, slices.Delete(ms, removed, removed+1), len(ms))
		removedName := fmt.Sprintf("router-%d", removed)
		want := slices.DeleteFunc(before, func(m string) bool { return m == removedName })
		if !slices.Equal(after, want) {
			t.Fatalf("after %v, want %v", after, want)
		}
	})
}
