package rollout_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	"github.com/chiveseam/chiveseam/rollout"
)

func offer(revision uint64, payload string) rollout.Offer {
	return rollout.Offer{Revision: revision, Payload: []byte(payload), Source: rollout.Platform}
}

func version(o rollout.Offer) rollout.Version {
	return rollout.Version{Revision: o.Revision, Digest: sha256.Sum256(o.Payload)}
}

func drawOffer(t *rapid.T) rollout.Offer {
	payload := rapid.SampledFrom([]string{"a", "b", "bad", "bad2"}).Draw(t, "payload")
	return offer(rapid.Uint64Range(1, 8).Draw(t, "revision"), payload)
}

func newTracker() *rollout.Tracker {
	return rollout.New(rollout.DefaultOptions(), accept, rand.New(rand.NewPCG(1, 1)))
}

// TestHighestAcceptedVersionWins checks that the order of offers does not matter, even if some
// are stale or repeated: the version in force never decreases and ends as the highest accepted
// one, and each version is rejected at most once.
func TestHighestAcceptedVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers := rapid.SliceOfN(rapid.Custom(drawOffer), 1, 30).Draw(t, "offers")
		tracker := newTracker()
		rejects := map[rollout.Version]int{}
		var want, last rollout.Version
		for _, o := range offers {
			if v := version(o); !strings.HasPrefix(string(o.Payload), "bad") && v.Compare(want) > 0 {
				want = v
			}
			for _, action := range tracker.Offer(epoch, o) {
				if r, ok := action.(rollout.Reject); ok {
					rejects[r.Version]++
				}
			}
			got, _ := tracker.InForce()
			if got.Compare(last) < 0 {
				t.Fatalf("went from %v to %v", last, got)
			}
			last = got
		}
		if last != want {
			t.Fatalf("in force %v, want %v", last, want)
		}
		for v, count := range rejects {
			if count > 1 {
				t.Fatalf("version %v was rejected %d times", v, count)
			}
		}
	})
}

// TestConvergence publishes configurations while messages are lost, half of the nodes are cut
// off from the other half, some nodes get no answer or stale answers from the platform, and
// nodes restart. After the cut heals, all nodes must have the highest accepted version in force
// within 5 s.
func TestConvergence(t *testing.T) {
	const size, half = 12, 6
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(size, rapid.Uint64().Draw(t, "seed"))
		n.loss = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "loss")
		var published []rollout.Offer
		var want rollout.Version
		up := rapid.SliceOfN(rapid.Bool(), size, size).Draw(t, "platform up")
		lag := rapid.SliceOfN(rapid.IntRange(0, 3), size, size).Draw(t, "revisions a replica lags")
		upToDate := rapid.IntRange(0, size-1).Draw(t, "reads a fresh replica")
		up[upToDate], lag[upToDate] = true, 0
		n.platformOffers = func(i int) []rollout.Offer {
			if !up[i] || len(published) == 0 {
				return nil
			}
			newest := max(0, len(published)-1-lag[i])
			return []rollout.Offer{published[newest], published[n.rng.IntN(newest+1)]}
		}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			o := offer(uint64(len(published)+1), rapid.SampledFrom([]string{"a", "b", "bad"}).Draw(t, "payload"))
			published = append(published, o)
			if string(o.Payload) != "bad" {
				want = version(o)
			}
			cut := rapid.Bool().Draw(t, "cut")
			n.cut = func(a, b int) bool { return cut && (a < half) != (b < half) }
			if rapid.Bool().Draw(t, "restart") {
				n.restart(rapid.IntRange(0, size-1).Draw(t, "restarted"))
			}
			n.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "steps")) * step)
		}
		n.cut = func(int, int) bool { return false }
		n.run(5 * time.Second)
		if n.failure != nil {
			t.Fatal(n.failure)
		}
		for i, m := range n.nodes {
			if got, _ := m.InForce(); got != want {
				t.Fatalf("node %d has %v after 5 s, want %v", i, got, want)
			}
		}
	})
}

// TestConflictingPayloadsConverge gives two halves of a partitioned fleet two payloads of the
// same revision. After the partition heals, all nodes must have the same one in force.
func TestConflictingPayloadsConverge(t *testing.T) {
	is := is.New(t)
	n := newNetwork(6, 1)
	n.cut = func(a, b int) bool { return (a < 3) != (b < 3) }
	n.platformOffers = func(i int) []rollout.Offer {
		return []rollout.Offer{offer(4, []string{"a", "b"}[i/3])}
	}
	n.run(3 * time.Second)
	n.cut = func(int, int) bool { return false }
	n.run(5 * time.Second)
	first, _ := n.nodes[0].InForce()
	for _, m := range n.nodes {
		got, _ := m.InForce()
		is.Equal(got, first)
	}
}

// TestConflictIsReportedOnce offers two payloads of one revision in turns, as two replicas of
// the platform that disagree would. Each offer would raise an alarm if conflicts were not
// remembered.
func TestConflictIsReportedOnce(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	conflicts := 0
	for _, payload := range []string{"a", "b", "a", "b", "a"} {
		for _, action := range tracker.Offer(epoch, offer(4, payload)) {
			if _, ok := action.(rollout.Conflict); ok {
				conflicts++
			}
		}
	}
	is.Equal(conflicts, 1)
}

// TestRejectedVersionLeavesConfigurationInForce checks that an invalid payload is reported once
// and does not replace the configuration in force.
func TestRejectedVersionLeavesConfigurationInForce(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	tracker.Offer(epoch, offer(1, "a"))
	actions := tracker.Offer(epoch, offer(2, "bad"))
	is.Equal(actions[0].(rollout.Reject).Err, errRejected)
	is.Equal(len(tracker.Offer(epoch, offer(2, "bad"))), 0)
	got, current := tracker.InForce()
	is.Equal(got.Revision, uint64(1))
	is.Equal(string(current.Payload), "a")
	is.Equal(len(tracker.Rejections()), 1)
}

// TestReadyWithoutAnsweringPeers checks that a router whose only peer does not answer serves
// with the platform's configuration after ReadyWait, and not earlier.
func TestReadyWithoutAnsweringPeers(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	tracker.SetPeers([]string{"gone"})
	tracker.Offer(epoch, offer(3, "a"))
	tracker.Tick(epoch.Add(time.Second))
	is.Equal(tracker.State(), rollout.StateStarting)
	actions := tracker.Tick(epoch.Add(rollout.DefaultOptions().ReadyWait))
	is.Equal(tracker.State(), rollout.StateReady)
	is.Equal(actions[len(actions)-1], rollout.Ready{})
}

// TestStalePeerAnswersAreQueriedAgain guards against a start with an old configuration: the
// peer answered 5 s before the router got its first configuration, and has a higher version
// since. The old answer must not count.
func TestStalePeerAnswersAreQueriedAgain(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	tracker.SetPeers([]string{"peer"})
	tracker.SetPeerVersion(epoch, "peer", rollout.Version{})
	later := epoch.Add(5 * time.Second)
	tracker.Offer(later, offer(1, "a"))
	is.Equal(tracker.Tick(later), []rollout.Action{rollout.Query{Peer: "peer"}})
	is.Equal(tracker.State(), rollout.StateStarting)
	tracker.SetPeerVersion(later, "peer", version(offer(2, "a")))
	is.Equal(tracker.Tick(later), []rollout.Action{rollout.Fetch{Peer: "peer", MinRevision: 2}})
	tracker.Offer(later, rollout.Offer{Revision: 2, Payload: []byte("a"), Source: "peer"})
	is.Equal(tracker.State(), rollout.StateReady)
}

// TestFailedFetchIsRetriedAfterDelay guards against a fetch on every Tick when the only peer
// with a version fails to deliver it.
func TestFailedFetchIsRetriedAfterDelay(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	tracker.SetPeers([]string{"holder"})
	tracker.SetPeerVersion(epoch, "holder", version(offer(9, "a")))
	fetches := 0
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * step)
		for _, action := range tracker.Tick(now) {
			if f, ok := action.(rollout.Fetch); ok {
				fetches++
				tracker.FetchFailed(now, f.Peer)
			}
		}
	}
	is.True(fetches >= 10 && fetches <= 40) // one every 250 to 750 ms for 10 s
	is.Equal(tracker.State(), rollout.StateStarting)
}

func ExampleTracker() {
	tracker := newTracker()
	tracker.SetPeers(nil)
	for _, action := range tracker.Offer(epoch, offer(7, "a")) {
		fmt.Printf("%T\n", action)
	}
	tracker.Offer(epoch, offer(6, "stale"))
	inForce, _ := tracker.InForce()
	fmt.Println(inForce.Revision)
	// Output:
	// rollout.Apply
	// rollout.Ready
	// 7
}
