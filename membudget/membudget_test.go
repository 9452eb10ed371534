package membudget

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
)

// Failure: answers without end of many targets take all memory, and the answers of sound targets find none. Two thirds
// of the targets hold as much as they can get; each answer of the others, also a large one, finds room.
func TestMessagesWithoutEndMakeRoomForOthers(t *testing.T) {
	is := is.New(t)
	b := New(20 << 20)
	for i := range 600 {
		endless := b.Open(fmt.Sprint("faulty", i%20), nil)
		endless.Grow(200 << 10)
		if i%3 != 0 {
			continue
		}
		sound := b.Open(fmt.Sprint("sound", i%30/3), nil)
		for range 10 {
			revoked, ok := sound.Grow(50 << 10)
			is.True(ok)
			for _, a := range revoked {
				is.True(a.party[0] == 'f')
			}
		}
		sound.Close()
	}
	is.True(b.Used() <= 20<<20)
}

// Failure: a request whose work has begun is given up for the memory of others.
func TestPinnedAccountsAreNotRevoked(t *testing.T) {
	is := is.New(t)
	b := New(100)
	running := b.Open("a", nil)
	_, ok := running.Grow(90)
	is.True(ok && running.Pin())
	other := b.Open("b", nil)
	revoked, ok := other.Grow(20)
	is.True(!ok && len(revoked) == 0)
	_, ok = other.Grow(10)
	is.True(ok)
	running.Close()
	_, ok = other.Grow(90)
	is.True(ok)
}

// The accounts never hold more than the limit together, their sum is what they were given, and a revoked one holds
// nothing.
func TestSumStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := New(limit)
		var accounts []*Account
		sums := make(map[*Account]int64)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				accounts = append(accounts, b.Open(rapid.StringMatching("[a-d]").Draw(t, "party"), nil))
			}
			a := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				a.Close()
				delete(sums, a)
			case 1:
				n := sums[a] / 2
				a.Shrink(n)
				sums[a] -= n
			case 2:
				a.Pin()
			default:
				n := rapid.Int64Range(0, 400).Draw(t, "bytes")
				revoked, ok := a.Grow(n)
				if ok {
					sums[a] += n
				}
				for _, r := range revoked {
					if r.pinned || r == a {
						t.Fatal("revoked a pinned account or the one that grows")
					}
					delete(sums, r)
				}
			}
			sum := int64(0)
			for _, held := range sums {
				sum += held
			}
			if sum != b.Used() || sum > limit {
				t.Fatalf("%d bytes are held, %d counted", sum, b.Used())
			}
		}
	})
}
