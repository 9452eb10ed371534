package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/fleet"
	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/rendezvous"
)

func drawInstance(t *rapid.T) *v1.Instance {
	i := instance(fmt.Sprintf("router-%d", rapid.IntRange(0, 5).Draw(t, "name")), 0)
	i.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	i.State = rapid.SampledFrom([]v1.InstanceState{v1.InstanceState_LIVE, v1.InstanceState_LEAVING}).Draw(t, "state")
	i.IsTarget = i.Name == "router-5"
	return i
}

func drawList(t *rapid.T) *v1.InstanceList {
	instances := rapid.SliceOfN(rapid.Custom(drawInstance), 0, 6).Draw(t, "instances")
	return list(rapid.Uint64Range(1, 9).Draw(t, "revision"), instances...)
}

// TestMarksAndListRevisionNeverGoBack gives a view random lists, marks, messages and contacts
// in random order. No leaving mark may be lost, no leaving incarnation may be reachable and the
// list revision must never decrease.
func TestMarksAndListRevisionNeverGoBack(t *testing.T) {
	type mark struct {
		name        string
		incarnation uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		v := fleet.New(instance("router-0", 2), fleet.DefaultOptions())
		other := fleet.New(instance("router-1", 2), fleet.DefaultOptions())
		marks := map[mark]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			revision := v.ListRevision()
			switch rapid.IntRange(0, 4).Draw(t, "input") {
			case 0:
				l := drawList(t)
				v.ApplyList(now, l)
				for _, i := range l.Instances {
					if i.State == v1.InstanceState_LEAVING {
						marks[mark{i.Name, i.Incarnation}] = true
					}
				}
			case 1:
				i := drawInstance(t)
				v.MarkLeaving(now, i.Name, i.Incarnation)
				marks[mark{i.Name, i.Incarnation}] = true
			case 2:
				other.ApplyList(now, drawList(t))
			case 3:
				v.Merge(now, proto.CloneOf(other.StateFor("router-0")))
				other.Merge(now, proto.CloneOf(v.StateFor("router-1")))
			case 4:
				v.RecordContact(now, drawInstance(t).Name, rapid.Bool().Draw(t, "ok"))
			}
			v.Tick(now)
			if v.ListRevision() < revision {
				t.Fatalf("list revision went from %d to %d", revision, v.ListRevision())
			}
			for m := range marks {
				if !v.Leaving(m.name, m.incarnation) {
					t.Fatalf("mark of %v is lost", m)
				}
			}
			for _, m := range v.Reachable() {
				if v.Leaving(m.Name, m.Incarnation) {
					t.Fatalf("%v is leaving and reachable", m)
				}
			}
		}
	})
}

// TestRoutersConverge lets routers mark targets, restart, die, apply lists and lose messages.
// In the end all live routers must have the same leaving marks, list revision, reachable
// routers and owner of a pool.
func TestRoutersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{6, 14}).Draw(t, "size")
		n := newNetwork(size, rapid.Uint64().Draw(t, "seed"))
		n.loss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		anyRouter := rapid.IntRange(1, size-1)
		marked := map[string]bool{}
		incarnation, revision := uint64(1), uint64(1)
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			name := n.names[anyRouter.Draw(t, "router")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if n.dead[name] {
					break
				}
				target := fmt.Sprintf("engine-%d", len(marked))
				n.views[name].MarkLeaving(n.now, target, 1)
				marked[target] = true
				n.run(3 * time.Second) // the mark reaches other routers before its router may die
			case 1:
				incarnation++
				n.views[name] = fleet.New(instance(name, incarnation), fleet.DefaultOptions())
				n.views[name].ApplyList(n.now, list(1, n.instances()...))
				n.dead[name] = false
			case 2:
				n.dead[name] = true
			case 3:
				revision++
				n.views["router-0"].ApplyList(n.now, list(revision, n.instances()...))
			}
			n.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "run")) * step)
		}
		n.loss = 0
		n.run(20 * time.Second)
		var want []string
		for _, name := range n.names {
			if !n.dead[name] {
				want = append(want, name)
			}
		}
		slices.Sort(want)
		owner, _ := rendezvous.Owner("pool/chat", want)
		for _, name := range want {
			v := n.views[name]
			var got []string
			for _, m := range v.Reachable() {
				got = append(got, m.Name)
			}
			gotOwner, _ := rendezvous.Owner("pool/chat", got)
			if !slices.Equal(got, want) || gotOwner != owner || v.ListRevision() != revision {
				t.Fatalf("%s sees %v with list %d, want %v with %d", name, got, v.ListRevision(), want, revision)
			}
			for target := range marked {
				if !v.TargetLeaving(target) {
					t.Fatalf("%s lacks the mark of %s", name, target)
				}
			}
		}
	})
}

// TestRestartWithoutPlatform checks that a router that restarted empty gets the list and the
// marks from the first peer, and that all others learn its new incarnation.
func TestRestartWithoutPlatform(t *testing.T) {
	is := is.New(t)
	n := newNetwork(30, 4)
	n.views["router-9"].MarkLeaving(n.now, "engine-1", 1)
	n.run(3 * time.Second)
	restarted := fleet.New(instance("router-3", 2), fleet.DefaultOptions())
	n.views["router-3"] = restarted
	restarted.Merge(n.now, n.views["router-8"].StateFor("router-3"))
	n.views["router-8"].Merge(n.now, restarted.StateFor("router-8"))
	restarted.Merge(n.now, n.views["router-8"].StateFor("router-3"))
	is.Equal(restarted.ListRevision(), uint64(1))
	is.True(restarted.Leaving("engine-1", 1))
	n.run(5 * time.Second)
	is.True(n.allLive(func(v *fleet.View) bool {
		m, ok := v.Lookup("router-3")
		return ok && m.Incarnation == 2 && contains(v.Reachable(), "router-3")
	}))
}

// TestPartialDeltaDoesNotSkipEarlierChanges guards against lost changes after a restart: the
// first message that the restarted router gets holds only the newest changes, since its sender
// does not know of the restart yet. If the router acknowledged that message in full, it would
// never get the earlier ones.
func TestPartialDeltaDoesNotSkipEarlierChanges(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2, 1)
	n.views["router-0"].MarkLeaving(n.now, "engine-1", 1)
	for i := range 5 { // router-0 acknowledges more changes than the restarted router-1 has
		n.views["router-1"].MarkLeaving(n.now, fmt.Sprintf("service-%d", i), 1)
	}
	n.run(3 * time.Second)
	sender := n.views["router-0"]
	restarted := fleet.New(instance("router-1", 2), fleet.DefaultOptions())
	restarted.ApplyList(n.now, list(1, n.instances()...))
	n.views["router-1"] = restarted
	sender.MarkLeaving(n.now, "engine-2", 1)
	restarted.Merge(n.now, proto.CloneOf(sender.StateFor("router-1")))
	is.True(restarted.Leaving("engine-2", 1) && !restarted.Leaving("engine-1", 1))
	n.run(3 * time.Second)
	is.True(restarted.Leaving("engine-1", 1))
}

// TestStoppedRouterLosesRolesUntilRestart checks that a stopping router becomes unreachable for
// all, and that its next incarnation becomes reachable although the list still has the old one.
func TestStoppedRouterLosesRolesUntilRestart(t *testing.T) {
	is := is.New(t)
	n := newNetwork(30, 4)
	n.run(3 * time.Second)
	n.views["router-3"].Stop(n.now)
	_, ok := n.runUntil(spreadDeadline, func() bool {
		return n.allLive(func(v *fleet.View) bool { return !contains(v.Reachable(), "router-3") })
	})
	is.True(ok)
	n.views["router-3"] = fleet.New(instance("router-3", 2), fleet.DefaultOptions())
	n.views["router-3"].ApplyList(n.now, list(1, n.instances()...))
	n.run(5 * time.Second)
	is.True(n.allLive(func(v *fleet.View) bool { return contains(v.Reachable(), "router-3") }))
}

// TestUnlistedRouterIsForgotten checks that a router that a new list dropped stays a member
// while it answers, and is forgotten after it has been silent for ForgetUnlistedAfter.
func TestUnlistedRouterIsForgotten(t *testing.T) {
	is := is.New(t)
	n := newNetwork(14, 4)
	n.run(3 * time.Second)
	without := slices.DeleteFunc(n.instances(), func(i *v1.Instance) bool { return i.Name == "router-5" })
	n.views["router-2"].ApplyList(n.now, list(2, without...))
	n.run(time.Minute)
	is.True(n.allLive(func(v *fleet.View) bool { return contains(v.Reachable(), "router-5") }))
	n.dead["router-5"] = true
	n.run(fleet.DefaultOptions().ForgetUnlistedAfter + 20*time.Second)
	is.True(n.allLive(func(v *fleet.View) bool { return !contains(v.Known(), "router-5") }))
}

// TestForgottenRoutersReconnectAfterPartition covers a partition that lasts until the routers
// of both sides have forgotten each other, while the list does not name them. Without probes of
// forgotten routers, the sides would never find each other again.
func TestForgottenRoutersReconnectAfterPartition(t *testing.T) {
	is := is.New(t)
	n := newNetwork(12, 4)
	n.run(3 * time.Second)
	n.views["router-0"].ApplyList(n.now, list(2, instance("router-0", 1)))
	n.run(3 * time.Second)
	side := func(name string) bool { return zoneIndex(name)%2 == 0 }
	n.cut = func(a, b string) bool { return side(a) != side(b) }
	n.run(2 * fleet.DefaultOptions().ForgetUnlistedAfter)
	_, known := n.views["router-2"].Lookup("router-3")
	is.True(!known)
	n.cut = func(string, string) bool { return false }
	took, ok := n.runUntil(time.Minute, func() bool {
		return n.allLive(func(v *fleet.View) bool { return len(v.Reachable()) == 12 })
	})
	t.Logf("whole again after %v", took)
	is.True(ok)
}

// TestHistory checks which lists History returns and from when on it is complete.
func TestHistory(t *testing.T) {
	is := is.New(t)
	v := fleet.New(instance("router-0", 1), fleet.DefaultOptions())
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	v.ApplyList(at(10), list(1, instance("router-1", 1)))
	v.ApplyList(at(20), list(2, instance("router-2", 1)))
	v.ApplyList(at(21), list(1, instance("router-1", 1))) // an older list is ignored
	v.ApplyList(at(30), list(3, instance("router-3", 1)))
	history := v.History(at(25))
	is.Equal(len(history), 2)
	is.Equal(history[0].Revision, uint64(2))
	is.Equal(history[0].Superseded, at(30))
	is.Equal(history[0].Routers, map[string]uint64{"router-2": 1})
	is.Equal(history[1].AsOf, time.UnixMilli(3000))
	is.True(v.HistoryCovers(at(10)))
	is.True(!v.HistoryCovers(at(9)))
}

func ExampleView() {
	now := time.Unix(0, 0)
	a := fleet.New(instance("router-1", 1), fleet.DefaultOptions())
	b := fleet.New(instance("router-2", 1), fleet.DefaultOptions())
	b.MarkLeaving(now, "engine-4", 1)
	a.Merge(now, b.StateFor("router-1"))
	fmt.Println(a.TargetLeaving("engine-4"), len(a.Reachable()))
	// Output: true 2
}
