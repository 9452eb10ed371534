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
	// oldKeys is the number of keys answered before the failure and sent again after it.
	oldKeys       = 60
	secondsBefore = 60
	secondsAfter  = 1500
	// listLagSeconds is the time from a failure until the platform's list shows it.
	listLagSeconds = 5
	outageSeconds  = 600
)

// failureScenario changes the fleet at the given numbers of seconds after the failure.
type failureScenario struct {
	name string
	at   map[int]func(r *availabilityRun)
}

func failureScenarios() []failureScenario {
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
	return []failureScenario{
		{"none", nil},
		{"crash, not replaced", map[int]func(*availabilityRun){0: crash, listLagSeconds: publish}},
		{"restart without memory", map[int]func(*availabilityRun){0: restart, listLagSeconds: publish}},
		{"planned stop", map[int]func(*availabilityRun){
			0: func(r *availabilityRun) { r.leave(0) },
			2: func(r *availabilityRun) { r.handOver(0) },
			3: crash,
		}},
		{"all replaced, one a minute", rollingReplacement()},
		{"router joins", map[int]func(*availabilityRun){0: (*availabilityRun).join, listLagSeconds: publish}},
		{"list drops a live router, 30 s", map[int]func(*availabilityRun){0: unlist, 30: relist}},
		{"pause, 30 s, list unchanged", map[int]func(*availabilityRun){0: pause, 30: resume}},
		{"zone cut off, 600 s", map[int]func(*availabilityRun){
			0: (*availabilityRun).partitionZone, listLagSeconds: (*availabilityRun).unlistPartitioned,
			outageSeconds: (*availabilityRun).heal, outageSeconds + listLagSeconds: publish,
		}},
		{"platform down, 600 s", map[int]func(*availabilityRun){
			0:             func(r *availabilityRun) { r.platformDown = true },
			outageSeconds: func(r *availabilityRun) { r.platformDown = false },
		}},
		{"all restart", map[int]func(*availabilityRun){0: (*availabilityRun).restartAll, listLagSeconds: publish}},
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
		events[at+10+listLagSeconds] = func(r *availabilityRun) { r.publish() }
	}
	return events
}

// availabilityRun sends keys of each kind to a fleet that loses no messages.
type availabilityRun struct {
	*sim
	platformDown bool
	serial       int
	// kinds holds the kind of each key, counts the decisions after the failure by kind.
	kinds  map[string]string
	counts map[string]*decisionCounts
	// failed is the time of the failure; zero before it.
	failed time.Time
}

// decisionCounts counts the final decisions on keys of one kind after the failure.
type decisionCounts struct {
	total, refused int
	// last is the time from the failure to the last refusal.
	last  time.Duration
	codes map[v1.Code]int
}

// newAvailabilityRun returns a fleet without random choices: all clocks agree, messages take no
// time, and each attempt ends with an answer.
func newAvailabilityRun() *availabilityRun {
	pick := func(n int) int {
		if n == 3 { // the outcome of an attempt: answered
			return 1
		}
		return 0
	}
	r := &availabilityRun{sim: newSim(pick, availabilityNodes, Options{}), kinds: map[string]string{}, counts: map[string]*decisionCounts{}}
	r.lossPercent = 0
	r.decided = r.count
	return r
}

// count counts a final decision on a key if the failure has happened.
func (r *availabilityRun) count(key string, d Decision) {
	if r.failed.IsZero() {
		return
	}
	kind := r.kinds[key]
	if r.counts[kind] == nil {
		r.counts[kind] = &decisionCounts{codes: map[v1.Code]int{}}
	}
	t := r.counts[kind]
	t.total++
	if d.Action == Refuse {
		t.refused++
		t.codes[d.Code]++
		t.last = r.now.Sub(r.failed)
	}
}

func (r *availabilityRun) leave(i int)    { r.nodes[i].unlisted = true; r.publish() }
func (r *availabilityRun) restartAll()    { r.each(r.start) }
func (r *availabilityRun) join()          { r.add("joined") }
func (r *availabilityRun) partitionZone() { r.nodes[0].partition, r.nodes[1].partition = 1, 1 }
func (r *availabilityRun) heal()          { r.each(func(n *node) { n.partition, n.unlisted = 0, false }) }

// unlistPartitioned publishes a list without the routers that are cut off.
func (r *availabilityRun) unlistPartitioned() {
	r.each(func(n *node) { n.unlisted = n.partition != 0 })
	r.publish()
}

func (r *availabilityRun) add(name string) {
	n := &node{member: Member{Name: name}}
	r.nodes = append(r.nodes, n)
	r.start(n)
}

// handOver transfers the records of router i to its successors.
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

// runSecond simulates one second: routers read the list from the platform, exchange their lists,
// and get one new key of each kind.
func (r *availabilityRun) runSecond() {
	r.now = r.now.Add(time.Second)
	r.each(func(n *node) {
		if n.partition == 0 && !r.platformDown {
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
	r.deliverAll()
}

func (r *availabilityRun) newKeys(n *node) {
	if !n.alive || n.paused {
		return
	}
	r.serial++
	var random [RandomBytes]byte
	random[0], random[1], random[2] = byte(r.serial), byte(r.serial>>8), byte(r.serial>>16)
	r.sendKey(n, "issued", n.ledger.Issue(r.clock(n), random))
	r.sendKey(n, "chosen, UUIDv7", uuidV7Key(r.now, r.serial))
	r.sendKey(n, "chosen, no proof of age", fmt.Sprintf("order-%d", r.serial))
}

func (r *availabilityRun) sendKey(n *node, kind, key string) {
	r.kinds[key] = kind
	r.request(n, key)
}

// resend sends a key that was answered before the failure to router i again, if that router is
// running and knows an instance list.
func (r *availabilityRun) resend(i int, key string) {
	n := r.nodes[i%len(r.nodes)]
	ready := len(n.ledger.Views()) > 0
	if n.alive && !n.paused && ready {
		r.sendKey(n, "sent again, answered before", key)
	}
}

// deliverAll delivers messages, often enough for all rounds of claims.
func (r *availabilityRun) deliverAll() {
	for range 3 * simMaxClaimRounds {
		r.deliver()
	}
}

func (r *availabilityRun) run(scenario failureScenario) {
	var old []string
	for range secondsBefore {
		r.runSecond()
	}
	for i := range oldKeys {
		old = append(old, uuidV7Key(r.now, 1<<30+i))
		r.request(r.nodes[i%availabilityNodes], old[i])
	}
	r.deliverAll()
	r.runSecond()
	r.failed = r.now
	for s := range secondsAfter {
		if f := scenario.at[s]; f != nil {
			f(r)
		}
		if s < 800 && s%10 == 0 { // within the keys' lifetime
			for i, key := range old {
				r.resend(i+s/10, key)
			}
		}
		r.runSecond()
	}
}

// TestAvailability prints for each failure and kind of key the part of the requests that are
// refused, and for how long after the failure. It fails if an invariant of sim is violated.
func TestAvailability(t *testing.T) {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "failure\tkind of key\trequests\trefused\tlast refusal\tcodes")
	for _, scenario := range failureScenarios() {
		r := newAvailabilityRun()
		r.run(scenario)
		if r.violation != "" {
			t.Fatalf("%s: %s", scenario.name, r.violation)
		}
		for _, kind := range slices.Sorted(maps.Keys(r.counts)) {
			v := r.counts[kind]
			fmt.Fprintf(w, "%s\t%s\t%d\t%.2f%%\t%v\t%v\n", scenario.name, kind, v.total, 100*float64(v.refused)/float64(v.total), v.last, v.codes)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + text.String())
}
