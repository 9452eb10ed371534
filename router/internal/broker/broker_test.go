package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	target1 config.ID = 101
	target2 config.ID = 102
)

func TestGrantAndDone(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	r := f.acquire(time.Minute)
	sent := f.sentTo("a")
	is.Equal(sent.Hello.Router, "self")
	is.Equal(seqs(sent.Demands), []uint64{r.seq})
	f.grant("a", r.seq, target1)
	is.Equal(r.answer().target(), target1)
	f.input(doneInput{r.seq, &v1.Done{Seq: r.seq, Cost: 7, Outcome: v1.Outcome_SERVED}})
	is.Equal(f.sentTo("a").Done[0].Cost, uint32(7))
	is.Equal(len(f.requests), 0)
}

func TestGrantAfterCancelIsGivenBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	r := f.acquire(time.Minute)
	f.input(cancelInput{r})
	is.Equal(f.sentTo("a").Cancels, []uint64{r.seq})
	f.grant("a", r.seq, target1)
	done := f.sentTo("a").Done
	is.Equal(len(done), 1)
	is.Equal(done[0].Seq, r.seq)
	is.Equal(done[0].Outcome, v1.Outcome_UNUSED)
	is.Equal(r.answer(), reply{}) // the caller has disconnected
}

func TestCancelAfterGrantGivesTheSlotBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	r := f.acquire(time.Minute)
	f.grant("a", r.seq, target1)
	f.input(cancelInput{r})
	done := f.sentTo("a").Done
	is.Equal(len(done), 1)
	is.Equal(done[0].Outcome, v1.Outcome_UNUSED)
	f.input(doneInput{r.seq, &v1.Done{Seq: r.seq}})
	is.Equal(len(f.sentTo("a").Done), 0) // the slot is returned only once
}

func TestDuplicateGrantIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	r := f.acquire(time.Minute)
	f.grant("a", r.seq, target1)
	f.grant("a", r.seq, target1)
	is.Equal(r.answer().target(), target1)
	is.Equal(r.answer(), reply{})
	is.Equal(len(f.sentTo("a").Done), 0)
}

func TestSecondGrantIsGivenBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	r := f.acquire(time.Minute)
	f.grant("a", r.seq, target1)
	f.grant("a", r.seq, target2)
	is.Equal(r.answer().target(), target1)
	is.Equal(f.sentTo("a").Done[0].Outcome, v1.Outcome_UNUSED)
}

func TestRefusalEndsTheDemand(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	r := f.acquire(time.Minute)
	f.refuse("a", &v1.Refusal{Seq: r.seq, Code: v1.Code_QUEUE_FULL, RetryAfterMs: 1500})
	answer := r.answer()
	is.Equal(answer.code(), v1.Code_QUEUE_FULL)
	is.Equal(answer.err.Ran, v1.Ran_NO)
	is.Equal(answer.err.RetryAfter, 1500*time.Millisecond)
	f.refuse("a", &v1.Refusal{Seq: r.seq, Code: v1.Code_QUEUE_FULL})
	is.Equal(r.answer(), reply{})
}

func TestUnansweredDemandIsRefusedAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	r := f.acquire(time.Second)
	f.sentTo("a")
	f.sweep(r.demand.Deadline)
	is.Equal(r.answer(), reply{}) // the scheduler's own refusal may be on its way
	f.sweep(r.demand.Deadline.Add(answerGrace + time.Millisecond))
	f.flush()
	answer := r.answer()
	is.Equal(answer.code(), v1.Code_DEADLINE_EXCEEDED)
	is.True(answer.err.RetryAfter > 0)
	is.Equal(f.sentTo("a").Cancels, []uint64{r.seq})
	f.grant("a", r.seq, target1)
	is.Equal(f.sentTo("a").Done[0].Outcome, v1.Outcome_UNUSED)
}

func TestRoleMoveSendsWaitingDemandsAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	waiting := f.acquire(time.Minute)
	running := f.acquire(time.Minute)
	first := waiting.seq
	f.grant("a", running.seq, target1)
	f.input(progressInput{running.seq, 40})
	f.sentTo("a")
	f.setFleet(member("b", homeRegion, 1))

	current := f.sentTo("b")
	is.Equal(seqs(current.Demands), []uint64{waiting.seq})
	is.Equal(len(current.Hello.InFlight), 1)
	is.Equal(current.Hello.InFlight[0].Seq, running.seq)
	is.Equal(current.Hello.InFlight[0].Target, uint32(target1))
	is.Equal(current.Hello.InFlight[0].Charged, uint32(40))
	previous := f.sentTo("a")
	is.Equal(previous.Cancels, []uint64{first})
	is.Equal(len(previous.Done), 1)
	is.Equal(previous.Done[0].Seq, running.seq)
	is.Equal(previous.Done[0].Outcome, v1.Outcome_ABANDONED)

	f.grant("a", first, target2) // sent before the withdrawal arrived
	is.Equal(f.sentTo("a").Done[0].Outcome, v1.Outcome_UNUSED)
	is.Equal(waiting.answer(), reply{})
	f.grant("b", waiting.seq, target2)
	is.Equal(waiting.answer().target(), target2)
	f.input(doneInput{running.seq, &v1.Done{Seq: running.seq, Cost: 50}})
	is.Equal(f.sentTo("b").Done[0].Cost, uint32(50))
}

func TestLostLinkIsReopened(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	waiting := f.acquire(time.Minute)
	running := f.acquire(time.Minute)
	f.grant("a", running.seq, target1)
	lost := f.links["a"]
	f.input(closedInput{lost, nil})
	is.Equal(len(f.dialer.links), 2)
	present := f.sentTo("a")
	is.Equal(seqs(present.Demands), []uint64{waiting.seq})
	is.Equal(present.Hello.InFlight[0].Seq, running.seq)
	f.input(receivedInput{lost, &v1.SchedulerBatch{Grants: []*v1.Grant{{Seq: waiting.seq, Target: 7}}}})
	is.Equal(waiting.answer(), reply{}) // batches on a lost link are ignored
	f.input(closedInput{lost, nil})
	is.Equal(len(f.dialer.links), 2)
}

func TestLostSchedulerIsSkippedDuringItsBackoff(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1), member("b", homeRegion, 1))
	waiting := f.acquire(time.Minute)
	first := waiting.link
	f.input(closedInput{first, nil})
	is.True(waiting.link.member.Name != first.member.Name)
	f.sweep(time.Now().Add(2 * minBackoff))
	f.flush()
	is.Equal(waiting.link.member.Name, first.member.Name) // the role moves back
	is.Equal(seqs(f.sentTo(first.member.Name).Demands), []uint64{waiting.seq})
}

// The backoff of a scheduler doubles, up to maxBackoff, each time its link is lost
// before anything was received on it. It starts again after something was received, and
// does not apply to the next incarnation.
func TestBackoffOfASilentSchedulerDoubles(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1), member("b", homeRegion, 1))
	waiting := f.acquire(time.Minute)
	silent := waiting.link.member
	now := time.Now()
	lose := func(receivedAny bool) time.Duration {
		f.backoffs.linkLost(silent, receivedAny, now)
		return f.backoffs[silent.Name].until.Sub(now)
	}
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 16} {
		is.Equal(lose(false), want*time.Second)
		is.True(f.backoffs.active(silent, now.Add(want*time.Second)))
		is.True(!f.backoffs.expire(now.Add(want * time.Second)))
		is.True(f.backoffs.expire(now.Add(want*time.Second + 1)))
		is.True(!f.backoffs.expire(now.Add(want*time.Second + 2))) // reported only once
	}
	is.Equal(lose(true), minBackoff)
	is.True(!f.backoffs.active(member(silent.Name, homeRegion, 2), now))
	is.Equal(lose(false), 2*minBackoff)
	f.backoffs.expire(now.Add(2*minBackoff + maxBackoff + 1))
	is.Equal(len(f.backoffs), 0) // old backoffs are removed
	f.input(receivedInput{waiting.link, &v1.SchedulerBatch{}})
	is.True(waiting.link.receivedAny)
}

func TestRestartedSchedulerGetsEachDemandOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	waiting := f.acquire(time.Minute)
	running := f.acquire(time.Minute)
	f.grant("a", running.seq, target1)
	f.setFleet(member("a", homeRegion, 2))
	present := f.sentTo("a")
	is.Equal(seqs(present.Demands), []uint64{waiting.seq})
	is.Equal(len(present.Hello.InFlight), 1)
	is.Equal(len(present.Hello.Counters), 1)
}

// A shard is moved while its scheduler stays the same. The new hello on the open link
// makes the scheduler void the grants that are still on their way, so the broker must
// not accept them for the new demand.
func TestGrantSentBeforeAHelloIsVoid(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	r := f.acquire(time.Minute)
	first := r.seq
	f.sentTo("a")
	f.moveShard(shardKey{config.Shard{Pool: poolName, Count: 1}, homeRegion}, time.Now())
	f.flush()
	again := f.sentTo("a")
	is.Equal(seqs(again.Demands), []uint64{r.seq})

	f.grant("a", first, target1) // the scheduler frees this slot on the hello
	f.grant("a", r.seq, target2)
	is.Equal(r.answer().target(), target2)
	for _, done := range f.sentTo("a").Done {
		is.True(done.Seq != r.seq) // the slot is in use
	}
}

func TestDemandWithoutSchedulerIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	r := f.acquire(time.Minute)
	answer := r.answer()
	is.Equal(answer.code(), v1.Code_NO_TARGET)
	is.Equal(answer.err.RetryAfter, defaultRetryAfter)
}

// spareBatch returns a batch with one spare slot at target1 that expires after ttl.
func spareBatch(id uint64, ttl time.Duration) *v1.SchedulerBatch {
	return &v1.SchedulerBatch{Spares: []*v1.Spare{{
		Id: id, Pool: uint32(config.IDOf(poolName)), Target: uint32(target1), ExpiresMs: uint32(ttl.Milliseconds()),
	}}}
}

// newFixtureWithSpare returns a broker that holds spare slot 9 from router a.
func newFixtureWithSpare(t *testing.T) *fixture {
	f := newFixture(t, member("a", homeRegion, 1))
	f.input(cancelInput{f.acquire(time.Minute)})
	f.receive("a", spareBatch(9, time.Minute))
	f.sentTo("a")
	return f
}

func TestSpareIsUsedOnce(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithSpare(t)
	r := f.acquire(time.Minute)
	is.Equal(r.answer().target(), target1)
	second := f.acquire(time.Minute)
	sent := f.sentTo("a")
	is.Equal(len(sent.SpareUses), 1)
	is.Equal(sent.SpareUses[0].Spare, uint64(9))
	is.Equal(sent.SpareUses[0].Demand.Seq, r.seq)
	is.Equal(seqs(sent.Demands), []uint64{second.seq})
	f.receive("a", &v1.SchedulerBatch{RevokedSpares: []uint64{9}})
	is.Equal(len(f.sentTo("a").SpareReturns), 0) // its use was reported before
}

func TestRevokedSpareIsReturned(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithSpare(t)
	f.receive("a", &v1.SchedulerBatch{RevokedSpares: []uint64{9}})
	is.Equal(f.sentTo("a").SpareReturns, []uint64{9})
	is.Equal(f.acquire(time.Minute).answer(), reply{})
}

func TestExpiredSpareIsReturned(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithSpare(t)
	f.receive("a", spareBatch(10, 0))
	f.sweep(time.Now())
	f.flush()
	is.Equal(f.sentTo("a").SpareReturns, []uint64{10})
	f.receive("a", &v1.SchedulerBatch{RevokedSpares: []uint64{9}})
	is.Equal(f.acquire(time.Minute).answer(), reply{})
}

func TestSpareOfALeavingTargetIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithSpare(t)
	fleet := *f.store.Fleet()
	fleet.LeavingTargets = map[config.ID]bool{target1: true}
	f.store.SetFleet(&fleet)
	is.Equal(f.acquire(time.Minute).answer(), reply{})
}

func TestSpareOfALostLinkIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithSpare(t)
	f.input(closedInput{f.links["a"], nil})
	is.Equal(f.acquire(time.Minute).answer(), reply{})
}

func TestSpareOfAnotherDataCentreIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithSpare(t)
	r := &request{
		demand:     Demand{Pool: poolName, Region: homeRegion, DataCentre: "dc-2", Deadline: time.Now().Add(time.Minute)},
		homeRegion: homeRegion,
		reply:      make(chan reply, 1),
	}
	f.input(acquireInput{r})
	is.Equal(r.answer(), reply{})
}
