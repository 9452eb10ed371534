package pool

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const unresolvedTime = 10 * time.Second

// submitCopy submits a demand with digest 7.
func (f *fixture) submitCopy(seq uint64) []Action {
	d := f.demandOf(seq, time.Minute)
	d.Digest = 7
	return f.step(d)
}

// countGrants counts the grants among actions.
func countGrants(actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(Grant); ok {
			n++
		}
	}
	return n
}

// TestCopiesWaitForFirstByte checks that copies of a running request are held until the
// first byte of its answer, and that the answer counts for answeredTTL only.
func TestCopiesWaitForFirstByte(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 9, Speed: 1})
	is.Equal(countGrants(f.submitCopy(1)), 1)
	is.Equal(f.submitCopy(2), []Action{AskFirstByte{ID: id(1)}})
	is.Equal(len(f.submitCopy(3)), 0)
	is.Equal(countGrants(f.step(FirstByte{ID: id(1)})), 2)
	is.Equal(countGrants(f.submitCopy(4)), 1) // the request counts as answered
	f.now = f.now.Add(answeredTTL)
	is.Equal(countGrants(f.submitCopy(5)), 0)
}

// TestUnansweredCopiesAreBounded checks that a copy which was given up counts against
// maxUnanswered while its target may still execute it.
func TestUnansweredCopiesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 9, Speed: 1})
	f.submitCopy(1)
	f.submitCopy(2)
	f.submitCopy(3)
	lost := Done{ID: id(1), Outcome: v1.Outcome_LOST, Unresolved: unresolvedTime}
	is.Equal(countGrants(f.step(lost)), 1)
	lost.ID = id(2)
	is.Equal(countGrants(f.step(lost)), 0) // two may be executed
	f.now = f.now.Add(unresolvedTime)
	is.Equal(countGrants(f.step(Tick{})), 1)
}

// TestCopyWithoutAnswerDelaysNextCopy checks that one more copy is admitted, up to
// maxUnanswered, after nextCopyDelay without an answer or once the router of the running
// copy is lost.
func TestCopyWithoutAnswerDelaysNextCopy(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 9, Speed: 1})
	f.submitCopy(1)
	f.submitCopy(2)
	f.submitCopy(3)
	f.now = f.now.Add(nextCopyDelay)
	is.Equal(countGrants(f.step(Tick{})), 1)
	f.now = f.now.Add(nextCopyDelay)
	is.Equal(countGrants(f.step(Tick{})), 0) // two may be executed

	f = newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 9, Speed: 1})
	f.submitCopy(1)
	other := Router{Name: "r2", Incarnation: 1}
	f.step(RouterJoined{Router: other, Zone: "z1"})
	d := f.demandOf(1, time.Minute)
	d.ID.Router, d.Digest = other, 7
	is.Equal(countGrants(f.step(d)), 0)
	is.Equal(countGrants(f.step(RouterLost{Router: router1})), 1)
}

// TestUnusedGrantAdmitsNextCopy returns grants as unused, as a router does if another
// region granted the demand before. Such a grant counts neither as a copy without an
// answer nor as a failure of the target.
func TestUnusedGrantAdmitsNextCopy(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 9, Speed: 1})
	f.submitCopy(1)
	for seq := uint64(1); seq <= 3*maxUnanswered; seq++ {
		is.Equal(countGrants(f.submitCopy(seq+1)), 0)
		is.Equal(countGrants(f.step(Done{ID: id(seq), Outcome: v1.Outcome_UNUSED})), 1)
	}
	f.step(Done{ID: id(3*maxUnanswered + 1), Outcome: v1.Outcome_UNUSED})
	is.Equal(len(f.copyGroups), 0)
}

// TestHeldDemandOfAnotherRegionIsCancelled checks that Cancel removes a held demand of
// another region, like one that waits in a queue.
func TestHeldDemandOfAnotherRegionIsCancelled(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 9, Speed: 1})
	f.submitCopy(1)
	d := f.demandOf(2, time.Minute)
	d.Digest, d.Moved = 7, true
	f.step(d)
	f.step(Cancel{id(2)})
	is.Equal(len(f.copyGroups[7].held), 0)
	is.Equal(f.workspaces[d.Workspace].held, 0)
}

// TestHeldDemandIsNotTied checks that a held demand is not tied in another region, since
// it does not wait for a slot.
func TestHeldDemandIsNotTied(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", DataCentre: "north", Slots: 1, Speed: 1})
	f.submitCopy(1)
	f.setReachableRegions(west)
	is.Equal(tiedSeqs(f.submitCopy(2)), nil)
	lost := Done{ID: id(1), Outcome: v1.Outcome_LOST, Unresolved: unresolvedTime}
	f.step(f.demandOf(3, time.Minute)) // waits for the slot of 1
	f.step(lost)
	is.Equal(tiedSeqs(f.step(Tick{})), nil)
}

func TestHeldCopyIsRefusedAtItsDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 9, Speed: 1})
	f.submitCopy(1)
	f.submitCopy(2)
	f.now = f.now.Add(time.Minute)
	is.Equal(refusalCode(f.step(Tick{})), v1.Code_DEADLINE_EXCEEDED)
	is.Equal(len(f.copyGroups[7].held), 0)
}

// copiesModel is a scheduler whose demands have one of two digests. Requests with
// crashingDigest crash their target or get no answer, those with harmlessDigest are
// answered.
type copiesModel struct {
	*fixture
	t   *rapid.T
	seq uint64
	// unfinished holds the digest of each demand that has not ended.
	unfinished map[uint64]uint32
	// running holds the granted demands. unresolved holds the times until which
	// targets may execute copies of crashingDigest that were given up.
	running    map[uint64]bool
	unresolved []time.Time
}

const crashingDigest, harmlessDigest = 1, 2

func (m *copiesModel) step(e Event) {
	for _, action := range m.fixture.step(e) {
		switch a := action.(type) {
		case Grant:
			if _, ok := m.unfinished[a.ID.Seq]; !ok || m.running[a.ID.Seq] {
				m.t.Fatalf("grant of demand %d that does not wait", a.ID.Seq)
			}
			m.running[a.ID.Seq] = true
		case Refuse:
			delete(m.unfinished, a.ID.Seq)
		}
	}
	m.check()
}

// check fails if targets may execute more than maxUnanswered crashing copies, or if
// copies are held although their group admits one.
func (m *copiesModel) check() {
	m.unresolved = slices.DeleteFunc(m.unresolved, func(at time.Time) bool { return !at.After(m.now) })
	running := 0
	for seq := range m.running {
		if m.unfinished[seq] == crashingDigest {
			running++
		}
	}
	if running+len(m.unresolved) > maxUnanswered {
		m.t.Fatalf("%d copies run, %d are unresolved", running, len(m.unresolved))
	}
	held := 0
	for _, c := range m.copyGroups {
		held += len(c.held)
		if len(c.held) > 0 && c.admitsCopy(m.now) {
			m.t.Fatalf("%d copies of digest %d are held although another may run", len(c.held), c.digest)
		}
	}
	if m.workspaces[1].held != held {
		m.t.Fatalf("%d copies are held, the workspace counts %d", held, m.workspaces[1].held)
	}
}

// drawDone draws how a granted demand ends.
func (m *copiesModel) drawDone(seq uint64) Done {
	done := Done{ID: id(seq), Cost: 1}
	if m.unfinished[seq] == harmlessDigest {
		done.Outcome = rapid.SampledFrom([]v1.Outcome{v1.Outcome_SERVED, v1.Outcome_FAILED, v1.Outcome_ABANDONED}).Draw(m.t, "outcome")
		return done
	}
	done.Outcome = rapid.SampledFrom([]v1.Outcome{v1.Outcome_LOST, v1.Outcome_NOT_RUN, v1.Outcome_UNUSED, v1.Outcome_ABANDONED}).Draw(m.t, "outcome")
	if done.Outcome == v1.Outcome_LOST && rapid.Bool().Draw(m.t, "given up") {
		done.Unresolved = unresolvedTime
		m.unresolved = append(m.unresolved, m.now.Add(unresolvedTime))
	}
	return done
}

func (m *copiesModel) endDrawn() {
	if len(m.running) == 0 {
		return
	}
	seq := rapid.SampledFrom(slices.Sorted(maps.Keys(m.running))).Draw(m.t, "demand")
	done := m.drawDone(seq)
	delete(m.running, seq)
	delete(m.unfinished, seq)
	m.step(done)
}

func (m *copiesModel) submitDrawn() {
	m.seq++
	d := m.demandOf(m.seq, time.Duration(rapid.IntRange(1, 30).Draw(m.t, "wait"))*time.Second)
	d.Digest = uint32(rapid.IntRange(crashingDigest, harmlessDigest).Draw(m.t, "digest"))
	m.unfinished[m.seq] = d.Digest
	m.step(d)
}

func (m *copiesModel) cancelFirst() {
	for _, seq := range slices.Sorted(maps.Keys(m.unfinished)) {
		if !m.running[seq] {
			delete(m.unfinished, seq)
			m.step(Cancel{ID: id(seq)})
			return
		}
	}
}

func (m *copiesModel) sendFirstBytes() {
	for _, seq := range slices.Sorted(maps.Keys(m.running)) {
		if m.unfinished[seq] == harmlessDigest {
			m.step(FirstByte{ID: id(seq)})
		}
	}
}

// rejoin opens the router's stream again. The router drops its waiting demands.
func (m *copiesModel) rejoin() {
	joined := RouterJoined{Router: router1, Zone: "z1"}
	for _, seq := range slices.Sorted(maps.Keys(m.unfinished)) {
		if m.running[seq] {
			joined.InFlight = append(joined.InFlight, InFlight{ID: id(seq), Workspace: 1, Target: 10, Digest: m.unfinished[seq]})
			continue
		}
		delete(m.unfinished, seq)
	}
	m.step(joined)
}

// TestCopiesThatMayCrashAreBounded checks that a request which crashes its targets
// never runs in more than maxUnanswered copies, while demands are cancelled and the
// router's stream is replaced.
func TestCopiesThatMayCrashAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		m := &copiesModel{
			fixture: newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: slots, Speed: 1}, Target{ID: 11, Zone: "z1", Slots: slots, Speed: 1}),
			t:       t, unfinished: map[uint64]uint32{}, running: map[uint64]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(*rapid.T) { m.submitDrawn() }, "end": func(*rapid.T) { m.endDrawn() },
			"cancel": func(*rapid.T) { m.cancelFirst() }, "first byte": func(*rapid.T) { m.sendFirstBytes() },
			"rejoin": func(*rapid.T) { m.rejoin() },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "s")) * time.Second)
				m.step(Tick{})
			},
		})
	})
}
