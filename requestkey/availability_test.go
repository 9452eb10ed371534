package requestkey

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	availabilityNodes = 6
	// oldKeys is the number of keys answered before the failure and sent again.
	oldKeys       = 60
	secondsBefore = 60
	secondsAfter  = 1500
	listLag       = 5
	outageSeconds = 600
)

// failureClass changes the fleet at a number of seconds after the failure.
type failureClass struct {
	name string
	at   map[int]func(r *availabilityRun)
}

func failureClasses() []failureClass {
	publish := func(r *availabilityRun) { r.publish() }
	first := func(f func(r *availabilityRun, n *node)) func(*availabilityRun) {
		return func(r *availabilityRun) { f(r, r.nodes[0]) }
	}
	crash := first(func(r *availabilityRun, n *node) { n.alive = false })
	restart := first(func(r *availabilityRun, n *node) { r.start(n) })
	pause := first(func(r *availabilityRun, n *node) { n.paused = true })
	resume := first(func(r *availabilityRun, n *node) { n.paused = false })
	unlist := first(func(r *availabilityRun, n *node) { n.unlisted = true; r.publish() })
	relist := first(func(r *availabilityRun, n *node) { n.unlisted = false; r.publish() })
	return []failureClass{
		{"none", nil},
		{"crash, not replaced", map[int]func(*availabilityRun){0: crash, listLag: publish}},
		{"restart without memory", map[int]func(*availabilityRun){0: restart, listLag: publish}},
		{"planned stop", map[int]func(*availabilityRun){
			0: func(r *availabilityRun) { r.leave(0) },
			2: func(r *availabilityRun) { r.handOver(0) },
			3: crash,
		}},
		{"all replaced, one a minute", rollingReplacement()},
		{"router joins", map[int]func(*availabilityRun){0: (*availabilityRun).join, listLag: publish}},
		{"list drops a live router, 30 s", map[int]func(*availabilityRun){0: unlist, 30: relist}},
		{"pause, 30 s, list unchanged", map[int]func(*availabilityRun){0: pause, 30: resume}},
		{"zone cut off, 600 s", map[int]func(*availabilityRun){
			0: (*availabilityRun).cut, listLag: (*availabilityRun).dropCut,
			outageSeconds: (*availabilityRun).heal, outageSeconds + listLag: publish,
		}},
		{"platform down, 600 s", map[int]func(*availabilityRun){
			0:             func(r *availabilityRun) { r.platformDown = true },
			outageSeconds: func(r *availabilityRun) { r.platformDown = false },
		}},
		{"all restart", map[int]func(*availabilityRun){0: (*availabilityRun).restartAll, listLag: publish}},
	}
}

// rollingReplacement replaces each router by one of another name.
func rollingReplacement() map[int]func(*availabilityRun) {
	const interval = 60
	events := map[int]func(*availabilityRun){}
	for i := range availabilityNodes {
		at := i * interval
		events[at] = func(r *availabilityRun) { r.leave(i) }
		events[at+2] = func(r *availabilityRun) { r.handOver(i) }
		events[at+3] = func(r *availabilityRun) { r.nodes[i].alive = false }
		events[at+10] = func(r *availabilityRun) { r.add(fmt.Sprintf("new%d", i)) }
		events[at+10+listLag] = func(r *availabilityRun) { r.publish() }
	}
	return events
}

// availabilityRun sends keys of each kind to a fleet without message loss.
type availabilityRun struct {
	*sim
	platformDown bool
	serial       int
	kinds        map[string]string
	tallies      map[string]*tally
	failed       time.Time
}

// tally counts the final decisions on keys of one kind after the failure.
type tally struct {
	total, refused int
	last           time.Duration
	codes          map[v1.Code]int
}

func newAvailabilityRun() *availabilityRun {
	pick := func(n int) int {
		if n == 3 { // the outcome of an attempt: answered
			return 1
		}
		return 0
	}
	r := &availabilityRun{sim: newSim(pick, availabilityNodes, Options{}), kinds: map[string]string{}, tallies: map[string]*tally{}}
	r.lossPercent = 0
	r.decided = r.count
	return r
}

func (r *availabilityRun) count(key string, d Decision) {
	if r.failed.IsZero() {
		return
	}
	kind := r.kinds[key]
	if r.tallies[kind] == nil {
		r.tallies[kind] = &tally{codes: map[v1.Code]int{}}
	}
	t := r.tallies[kind]
	t.total++
	if d.Action == Refuse {
		t.refused++
		t.codes[d.Code]++
		t.last = r.now.Sub(r.failed)
	}
}

func (r *availabilityRun) leave(i int) { r.nodes[i].unlisted = true; r.publish() }
func (r *availabilityRun) restartAll() { r.each(r.start) }
func (r *availabilityRun) join()       { r.add("joined") }
func (r *availabilityRun) cut()        { r.nodes[0].side, r.nodes[1].side = 1, 1 }
func (r *availabilityRun) heal()       { r.each(func(n *node) { n.side, n.unlisted = 0, false }) }

func (r *availabilityRun) dropCut() {
	r.each(func(n *node) { n.unlisted = n.side != 0 })
	r.publish()
}

func (r *availabilityRun) add(name string) {
	n := &node{member: Member{Name: name}}
	r.nodes = append(r.nodes, n)
	r.start(n)
}

func (r *availabilityRun) handOver(i int) {
	n := r.nodes[i]
	for _, h := range n.ledger.Export(r.clock(n)) {
		to := r.node(Member{Name: h.To})
		to.ledger.Import(r.clock(to), h)
	}
}

func (r *availabilityRun) each(f func(n *node)) {
	for _, n := range r.nodes {
		f(n)
	}
}

// second passes one second: lists, exchange of lists, one new key of each kind
// for each router.
func (r *availabilityRun) second() {
	r.now = r.now.Add(time.Second)
	r.each(func(n *node) {
		if n.side == 0 && !r.platformDown {
			r.readList(n, 0)
		}
	})
	r.each(func(from *node) {
		r.each(func(to *node) {
			if from != to && r.connected(from, to) && !from.paused && !to.paused {
				to.ledger.Observe(r.clock(to), from.ledger.Views()...)
			}
		})
	})
	r.each(r.newKeys)
	r.settleMessages()
}

func (r *availabilityRun) newKeys(n *node) {
	if !n.alive || n.paused {
		return
	}
	r.serial++
	var random [RandomBytes]byte
	random[0], random[1], random[2] = byte(r.serial), byte(r.serial>>8), byte(r.serial>>16)
	r.sendKey(n, "issued", n.ledger.Issue(r.clock(n), random))
	r.sendKey(n, "chosen, UUIDv7", youngKey(r.now, r.serial))
	r.sendKey(n, "chosen, no proof of age", fmt.Sprintf("order-%d", r.serial))
}

func (r *availabilityRun) sendKey(n *node, kind, key string) {
	r.kinds[key] = kind
	r.request(n, key)
}

// resend sends a key that was answered before the failure to a live router.
func (r *availabilityRun) resend(i int, key string) {
	n := r.nodes[i%len(r.nodes)]
	ready := len(n.ledger.Views()) > 0
	if n.alive && !n.paused && ready {
		r.sendKey(n, "sent again, answered before", key)
	}
}

func (r *availabilityRun) settleMessages() {
	for range 3 * simMaxHops {
		r.deliver()
	}
}

func (r *availabilityRun) run(class failureClass) {
	var old []string
	for range secondsBefore {
		r.second()
	}
	for i := range oldKeys {
		old = append(old, youngKey(r.now, 1<<30+i))
		r.request(r.nodes[i%availabilityNodes], old[i])
	}
	r.settleMessages()
	r.second()
	r.failed = r.now
	for s := range secondsAfter {
		if f := class.at[s]; f != nil {
			f(r)
		}
		if s < 800 && s%10 == 0 { // within the keys' lifetime
			for i, key := range old {
				r.resend(i+s/10, key)
			}
		}
		r.second()
	}
}

// TestAvailability prints for each failure class and kind of key the share of
// requests that are refused and for how long after the failure.
func TestAvailability(t *testing.T) {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "failure\tkind of key\trequests\trefused\tlast refusal\tcodes")
	for _, class := range failureClasses() {
		r := newAvailabilityRun()
		r.run(class)
		if r.violation != "" {
			t.Fatalf("%s: %s", class.name, r.violation)
		}
		for _, kind := range slices.Sorted(maps.Keys(r.tallies)) {
			v := r.tallies[kind]
			fmt.Fprintf(w, "%s\t%s\t%d\t%.2f%%\t%v\t%v\n", class.name, kind, v.total, 100*float64(v.refused)/float64(v.total), v.last, v.codes)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + text.String())
}
