package exchange_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/exchange"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// statementReports is the number of reports that state something new.
	statementReports = 3
	// statementsPerPart is the number of statements in a part of an answer.
	statementsPerPart = 4
	// tellTime is the time within which a router knows all statements, once it runs and reaches the others.
	tellTime = 2500 * time.Millisecond
)

// speaker is a router that makes statements and learns those of others.
type speaker struct {
	members     *exchange.Members
	incarnation uint64
	sequence    uint64
	answers     uint32
	// known holds the statements that the router knows, due its own ones with the reports to come that
	// make them.
	known map[uint64]bool
	due   map[uint64]int
	// undisturbed is since when the router runs and reaches the others.
	undisturbed time.Time
	down        time.Time
	cutUntil    time.Time
}

// speakers is a fleet in virtual time. Statements stand in reports as wanted streams.
type speakers struct {
	now     time.Time
	random  *rand.Rand
	seeds   int
	zones   int
	loss    float64
	routers []*speaker
	// made holds when each statement was made.
	made map[uint64]time.Time
	// messages counts the datagrams.
	messages int
}

func newSpeakers(n, seeds, zones int, seed uint64) *speakers {
	w := &speakers{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), seeds: seeds, zones: zones, loss: 0.03, made: map[uint64]time.Time{}}
	for i := range n {
		w.routers = append(w.routers, nil)
		w.start(i)
	}
	return w
}

func (w *speakers) zone(i int) string { return fmt.Sprint("zone-", i%w.zones) }

// start starts router i, which knows nothing but the seeds.
func (w *speakers) start(i int) {
	s := &speaker{
		members:     exchange.New(address(i), w.zone(i), w.now, timeout, w.random.Uint64()),
		incarnation: uint64(w.now.UnixMilli()), known: map[uint64]bool{}, due: map[uint64]int{}, undisturbed: w.now,
	}
	s.members.SetSeeds(seedAddresses(w.seeds))
	w.routers[i] = s
}

// seedAddresses returns the addresses of the first routers.
func seedAddresses(n int) []netip.AddrPort {
	var list []netip.AddrPort
	for i := range n {
		list = append(list, address(i))
	}
	return list
}

// running reports whether router i runs and reaches the others.
func (w *speakers) running(i int) bool {
	s := w.routers[i]
	return s.down.IsZero() && !w.now.Before(s.cutUntil)
}

// step advances the time by 100 ms: routers that are down for long enough start again, and each sends a report.
func (w *speakers) step() {
	w.now = w.now.Add(100 * time.Millisecond)
	for i, s := range w.routers {
		if !s.down.IsZero() && !w.now.Before(s.down) {
			w.start(i)
		}
		if s.cutUntil.Equal(w.now) {
			s.undisturbed = w.now
		}
	}
	for i, s := range w.routers {
		if !s.down.IsZero() {
			continue
		}
		s.sequence++
		r := w.base(i)
		r.Sequence = s.sequence
		if s.sequence%8 == 0 {
			r.Members = s.members.SampleMembers(w.now, false)
		}
		for statement := range s.due {
			r.WantedStreams = append(r.WantedStreams, statement)
			s.due[statement]--
			if s.due[statement] == 0 {
				delete(s.due, statement)
			}
		}
		for _, to := range s.members.Recipients(w.now) {
			w.send(i, i, w.index(to), r, to)
		}
	}
}

func (w *speakers) base(i int) *v1.LoadReport {
	s := w.routers[i]
	return &v1.LoadReport{Incarnation: s.incarnation, Zone: w.zone(i), Forwards: true, Informed: s.members.Informed(w.now)}
}

func (w *speakers) index(to exchange.Recipient) int {
	for i := range w.routers {
		if address(i) == to.Address {
			return i
		}
	}
	return -1
}

// send passes a report of the router origin from the router via to a receiver, which forwards and answers it
// if it asks for that.
func (w *speakers) send(origin, via, to int, r *v1.LoadReport, how exchange.Recipient) {
	w.messages++
	if !w.running(via) || !w.running(to) || w.random.Float64() < w.loss {
		return
	}
	s := w.routers[to]
	s.members.HandleReport(w.now, address(origin), r)
	for _, statement := range r.WantedStreams {
		s.known[statement] = true
	}
	if how.Forward {
		for _, next := range s.members.ForwardTo(w.now, address(origin)) {
			w.send(origin, to, w.index(exchange.Recipient{Address: next}), r, exchange.Recipient{})
		}
	}
	if how.Answer {
		w.answer(to, origin)
	}
}

// answer tells a router all that another one knows.
func (w *speakers) answer(from, to int) {
	s := w.routers[from]
	var all []uint64
	for statement := range s.known {
		all = append(all, statement)
	}
	parts := append([][]uint64{nil}, slices.Collect(slices.Chunk(all, statementsPerPart))...)
	s.answers++
	for i, part := range parts {
		r := w.base(from)
		r.AnswerPart = &v1.AnswerPart{Answer: s.answers, Index: uint32(i), Count: uint32(len(parts)), Sequence: s.sequence}
		r.WantedStreams = part
		if i == 0 {
			r.Members = s.members.SampleMembers(w.now, true)
		}
		w.send(from, from, to, r, exchange.Recipient{})
	}
}

// state lets a running router make a statement.
func (w *speakers) state() {
	i := w.random.IntN(len(w.routers))
	if !w.running(i) {
		return
	}
	statement := uint64(len(w.made) + 1)
	w.made[statement] = w.now
	w.routers[i].known[statement] = true
	w.routers[i].due[statement] = statementReports
}

// leave stops a router for a time as planned.
func (w *speakers) leave(i int, d time.Duration) {
	r := w.base(i)
	r.Leaving = true
	for _, to := range w.routers[i].members.Recipients(w.now) {
		w.send(i, i, w.index(to), r, exchange.Recipient{})
	}
	w.stop(i, d)
}

// stop kills a router, which starts again after a time.
func (w *speakers) stop(i int, d time.Duration) {
	s := w.routers[i]
	s.down = w.now.Add(d)
	for statement := range s.due {
		// The router has not told it often enough.
		delete(w.made, statement)
	}
}

// check fails the test if a router that runs undisturbed does not know a statement.
func (w *speakers) check(t *testing.T, seed uint64) {
	t.Helper()
	for i, s := range w.routers {
		if !w.running(i) || w.now.Sub(s.undisturbed) < tellTime {
			continue
		}
		for statement, at := range w.made {
			if w.now.Sub(at) >= tellTime && !s.known[statement] {
				t.Fatalf("seed %d: router %d, undisturbed for %v, does not know statement %d of %v ago", seed, i, w.now.Sub(s.undisturbed), statement, w.now.Sub(at))
			}
		}
	}
}

// disturb stops routers, which start again within the timeout or later, or cuts them off from all others: up
// to half of the fleet at the same moment, the seeds among them.
func (w *speakers) disturb() {
	d := time.Duration(1+w.random.IntN(50)) * 100 * time.Millisecond
	cut := w.random.IntN(2) == 0
	hit := w.random.Perm(len(w.routers))[:1+w.random.IntN(len(w.routers)/2)]
	if w.random.IntN(2) == 0 {
		for k := range w.seeds {
			hit = append(hit, k)
		}
	}
	for _, i := range hit[:min(len(hit), len(w.routers)/2)] {
		if !w.running(i) {
			continue
		}
		if cut {
			w.routers[i].cutUntil = w.now.Add(d)
			for statement := range w.routers[i].due {
				w.made[statement] = w.routers[i].cutUntil // nobody hears it before
			}
			continue
		}
		if w.random.IntN(2) == 0 {
			w.leave(i, d)
			continue
		}
		w.stop(i, d)
	}
}

// Guards against BUDGET and ORDER: a router that starts, alone, with others or as an added one, or that was
// cut off for any time, is told what the others have stated meanwhile, also if only routers that know nothing
// are its seeds.
func TestRoutersAreToldWhatTheyMissed(t *testing.T) {
	for _, f := range []struct{ routers, seeds, zones, worlds int }{{3, 1, 1, 30}, {6, 2, 1, 60}, {6, 3, 2, 30}, {24, 3, 2, 6}, {60, 3, 3, 1}} {
		for seed := range uint64(f.worlds) {
			w := newSpeakers(f.routers, f.seeds, f.zones, seed)
			for range 5 {
				for step := range 110 {
					if step == 30 {
						w.disturb()
					}
					if step < 60 && w.random.IntN(4) == 0 {
						w.state()
					}
					w.step()
					w.check(t, seed)
				}
			}
		}
	}
}

// Questions for what was missed end with the answers, also if some of these are lost: a calm fleet sends
// reports only.
func TestQuestionsEndWithTheAnswers(t *testing.T) {
	is := is.New(t)
	const routers = 20
	w := newSpeakers(routers, 2, 1, 1)
	for range 40 {
		w.state()
		w.step()
	}
	w.stop(0, 500*time.Millisecond)
	w.stop(5, 500*time.Millisecond)
	for range 60 {
		w.step()
	}
	w.loss = 0
	for range 10 {
		w.step() // reports that were lost last are asked for
	}
	w.messages = 0
	for range 20 {
		w.step()
	}
	is.Equal(w.messages, 20*routers*(routers-1))
}

// A router knows what the others knew before it started once one that knows it has answered in full, or soon
// if there is no such router.
func TestRouterIsInformedByAnInformedOne(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	members := func(seeded bool) *exchange.Members {
		m := exchange.New(address(0), "", start, timeout, 1)
		if seeded {
			m.SetSeeds(seedAddresses(2))
		}
		m.Recipients(start)
		return m
	}
	is.True(members(false).Informed(start)) // there is no other router

	// The only seed, when it starts again, does not know the others yet.
	seed := exchange.New(address(0), "", start, timeout, 1)
	seed.SetSeeds(seedAddresses(1))
	is.True(!seed.Informed(at(time.Second)))

	alone := members(true)
	is.True(!alone.Informed(at(time.Second)))
	is.True(alone.Informed(at(1300 * time.Millisecond)))

	// A router that started at the same time has nothing to tell.
	part := &v1.AnswerPart{Answer: 1, Count: 2}
	last := &v1.AnswerPart{Answer: 1, Index: 1, Count: 2}
	together := members(true)
	for _, p := range []*v1.AnswerPart{part, last} {
		together.HandleReport(at(100*time.Millisecond), address(1), &v1.LoadReport{Incarnation: 1, AnswerPart: p})
	}
	is.True(!together.Informed(at(time.Second)))

	told := members(true)
	told.HandleReport(at(100*time.Millisecond), address(1), &v1.LoadReport{Incarnation: 1, Sequence: 900, Informed: true})
	is.True(!told.Informed(at(2 * time.Second))) // the answer is still to come
	told.HandleReport(at(2*time.Second), address(1), &v1.LoadReport{Incarnation: 1, AnswerPart: part, Informed: true})
	is.True(!told.Informed(at(2 * time.Second)))
	heard := told.HandleReport(at(2*time.Second), address(1), &v1.LoadReport{Incarnation: 1, AnswerPart: last, Informed: true})
	is.True(heard.CaughtUp)
	is.True(told.Informed(at(2 * time.Second)))
	heard = told.HandleReport(at(2*time.Second), address(1), &v1.LoadReport{Incarnation: 1, AnswerPart: last, Informed: true})
	is.True(!heard.CaughtUp) // a duplicate
}

// Guards against BUDGET: a router was stopped as planned and started again while the only seed was down. No other
// router knew it any more, and none told it what crashes targets.
func TestRouterThatLeftIsFoundWithoutItsSeed(t *testing.T) {
	is := is.New(t)
	w := newSpeakers(6, 1, 1, 1)
	w.loss = 0
	for range 30 {
		w.step()
	}
	w.made[1] = w.now
	w.routers[4].known[1], w.routers[4].due[1] = true, statementReports
	for range 10 {
		w.step()
	}
	w.stop(0, 10*time.Second)
	w.leave(2, time.Second)
	is.Equal(w.routers[4].members.LiveCount(w.now), 4) // the killed seed is still counted
	for range 10 + int(tellTime/(100*time.Millisecond)) {
		w.step()
	}
	is.True(w.routers[2].known[1])
}
