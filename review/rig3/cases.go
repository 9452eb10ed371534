package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// crashTime is how long a crashed engine is down.
const crashTime = time.Second

var requestCount atomic.Int64

func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1)) }

// alias: another writer's entry lacks fields and has the address of a running engine.
func alias(w *world) int {
	if !w.begin(true) {
		return couldNotRun
	}
	stop := func() {}
	if w.trouble {
		stop = w.exportEntry(w.engines[0])
	}
	lost := w.streams("/lohu930/2f", 24, false, 6*time.Second, 80*time.Second)
	stop()
	return verdict(lost)
}

// exportEntry has another writer write an entry with the address of an engine that lacks most fields, at each heartbeat until the
// returned function is called.
func (w *world) exportEntry(e *engine) (stop func()) {
	stopped := make(chan struct{})
	const key = "servers/exporter-1"
	value, _ := json.Marshal(map[string]any{"service": e.service, "address": e.address, "state": "ready"})
	w.record.note("another writer writes %s: %s", key, value)
	go func() {
		for {
			w.store.put(key, value)
			select {
			case <-stopped:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	time.Sleep(3 * time.Second)
	return func() { close(stopped) }
}

// cut counts the requests that an engine has answered in full, and whose channel the router has closed before the end of its answer:
// all of them, those on kept channels, and those that were sent up to config_apply_ms after a SIGHUP of their machine.
type cut struct {
	all, kept, planned int64
}

// verdict is the LOST rule: more than three kept channels were closed without a whole answer to a request that a sound engine got,
// or one around planned work.
func verdict(c cut) int {
	if c.kept > 3 || c.planned > 0 {
		return broken
	}
	return held
}

// streams has consumers send requests for streams on kept channels for a time, with a look-up on the channel before each one if lookUp is
// set. Meanwhile all machines are reloaded again and again, which is planned work.
func (w *world) streams(path string, consumers int, lookUp bool, timeLimit, length time.Duration) cut {
	var sent, whole, refused, lost, kept, planned atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	go w.fleet.reloadAll(stop)
	byEngine := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	for n := range consumers {
		m := w.fleet.machines[n%len(w.fleet.machines)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(rand.Int64N(int64(5 * time.Second))))
			var c *channel
			for time.Now().Before(end) {
				if c == nil {
					var err error
					if c, err = dial(m.front()); err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				if lookUp && !c.send(request{id: nextID(), method: "GET", path: "/cufi504/fi50/1", timeLimit: time.Second}).reusable {
					c.conn.Close()
					c = nil
					continue
				}
				r := request{id: nextID(), method: "POST", path: path, body: "prompt " + fmt.Sprint(rand.IntN(1<<30)), timeLimit: timeLimit}
				part := fmt.Sprintf("%08x", rand.Uint32())
				r.headers = []string{"X-Chiveseam-Model: m", "X-Chiveseam-Token-Usage: 900,60", "X-Chiveseam-Prompt-Prefix: 5c1e07a2:630," + part + ":270"}
				onKept, sentAt := c.requests > 0, time.Now()
				got := c.send(r)
				sent.Add(1)
				w.record.note("request %s to %s on a %s channel: status %d, %d events, complete %v, channel closed %v, error %v", r.id, m.name,
					map[bool]string{true: "kept", false: "new"}[onKept], got.status, bytes.Count([]byte(got.body), []byte("\n\n")), got.complete, got.closed, got.err)
				switch {
				case got.status == 200 && got.complete:
					whole.Add(1)
				case got.status == 503:
					refused.Add(1)
					time.Sleep(200 * time.Millisecond)
				case got.closed:
					time.Sleep(50 * time.Millisecond)
					if at := w.record.ended(r.id); at != "" {
						lost.Add(1)
						mu.Lock()
						byEngine[at]++
						mu.Unlock()
						if onKept {
							kept.Add(1)
						}
						if m.aroundReload(sentAt) {
							planned.Add(1)
						}
					}
				}
				if !got.reusable {
					c.conn.Close()
					c = nil
				}
			}
		}()
	}
	clients.Wait()
	summary := fmt.Sprintf("sent %d, whole %d, refused %d; channels closed without a whole answer though an engine had answered in full: %d, "+
		"%d of them kept channels, %d around a SIGHUP; by engine %v",
		sent.Load(), whole.Load(), refused.Load(), lost.Load(), kept.Load(), planned.Load(), byEngine)
	fmt.Println(summary)
	w.record.note("%s", summary)
	return cut{all: lost.Load(), kept: kept.Load(), planned: planned.Load()}
}

// junk: another writer's entries can't be read, and all processes are killed.
func junk(w *world) int {
	if !w.begin(false) {
		return couldNotRun
	}
	if w.trouble {
		value := make([]byte, 1_000_000)
		for i := range value {
			value[i] = byte(rand.Uint32())
		}
		for i := range 20 {
			w.store.put(fmt.Sprintf("servers/dump-%02d", i), value)
			time.Sleep(100 * time.Millisecond)
		}
		w.record.note("another writer has written 20 entries of %d bytes that can't be read", len(value))
	}
	before := w.lookups(8 * time.Second)
	for _, m := range w.fleet.machines {
		w.fleet.signal(m, syscall.SIGKILL, true)
	}
	time.Sleep(1400 * time.Millisecond)
	for _, m := range w.fleet.machines {
		if err := w.fleet.start(m); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return couldNotRun
		}
	}
	time.Sleep(13 * time.Second)
	after := w.lookups(8 * time.Second)
	fmt.Printf("share served before the kill %.2f, more than 12 s after it %.2f\n", before, after)
	w.record.note("share served before the kill %.2f, more than 12 s after it %.2f", before, after)
	if before >= 0.25 && after < 0.25 {
		return broken
	}
	return held
}

// lookups sends idempotent requests for a time, and returns the share that is served.
func (w *world) lookups(length time.Duration) float64 {
	var sent, served atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	for n := range 12 {
		m := w.fleet.machines[n%len(w.fleet.machines)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				r := request{id: nextID(), method: "GET", path: "/cufi504/fi50/" + fmt.Sprint(rand.IntN(1<<20)), timeLimit: time.Second}
				sent.Add(1)
				c, err := dial(m.front())
				if err != nil {
					w.record.note("request %s to %s: %v", r.id, m.name, err)
				} else {
					got := c.send(r)
					w.record.note("request %s to %s: status %d, complete %v, error %v", r.id, m.name, got.status, got.complete, got.err)
					if got.status == 200 && got.complete {
						served.Add(1)
					}
					c.conn.Close()
				}
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	return float64(served.Load()) / float64(max(sent.Load(), 1))
}

// leave: engines of a service leave as planned, one after the other, while they answer long streams.
func leave(w *world) int {
	if !w.begin(true) {
		return couldNotRun
	}
	for _, e := range w.engines {
		e.events, e.pause = 57, 120*time.Millisecond
	}
	var leaving sync.WaitGroup
	if w.trouble {
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			time.Sleep(12 * time.Second)
			var each sync.WaitGroup
			for _, e := range w.engines[:4] {
				each.Add(1)
				go func() {
					defer each.Done()
					e.leave(2*time.Second, 1500*time.Millisecond)
				}()
				time.Sleep(time.Second)
			}
			each.Wait()
		}()
	}
	lost := w.streams("/chat017/2f", 60, false, 15*time.Second, 45*time.Second)
	leaving.Wait()
	return verdict(lost)
}

// Figures of the budget of repeats: retry_budget_ratio, budget_min_retries and budget_window_s.
const (
	budgetRatio  = 0.2
	budgetFloor  = 52
	budgetWindow = 10 * time.Second
)

// repeats: engines fail part of their requests, and all machines are killed at the same moment.
func repeats(w *world) int {
	if !w.begin(false) {
		return couldNotRun
	}
	var mu sync.Mutex
	var sent []time.Time
	var clients sync.WaitGroup
	began := time.Now()
	end := began.Add(40 * time.Second)
	const consumers = 60
	for n := range consumers {
		m := w.fleet.machines[n%len(w.fleet.machines)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(n) * 500 * time.Millisecond / consumers)
			for at := time.Now(); at.Before(end); at = at.Add(500 * time.Millisecond) {
				time.Sleep(time.Until(at))
				path, limit := "/cufi504/fi50/"+fmt.Sprint(rand.IntN(1<<20)), time.Now().Add(time.Second)
				for try := 0; try < 2 && time.Until(limit) > 50*time.Millisecond; try++ {
					r := request{id: nextID(), method: "GET", path: path, timeLimit: time.Until(limit)}
					mu.Lock()
					sent = append(sent, time.Now())
					mu.Unlock()
					c, err := dial(m.front())
					if err != nil {
						w.record.note("request %s to %s: %v", r.id, m.name, err)
						time.Sleep(100 * time.Millisecond)
						continue
					}
					got := c.send(r)
					c.conn.Close()
					w.record.note("request %s to %s: status %d, complete %v", r.id, m.name, got.status, got.complete)
					if got.status == 200 && got.complete {
						break
					}
					if wait, err := strconv.ParseFloat(got.retryWait, 64); err == nil {
						time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Until(limit)/3))
					}
				}
			}
		}()
	}
	if w.trouble {
		time.Sleep(time.Until(began.Add(14 * time.Second)))
		w.failing(45)
		time.Sleep(5 * time.Second)
		for _, m := range w.fleet.machines {
			w.fleet.signal(m, syscall.SIGKILL, false)
		}
		for _, m := range w.fleet.machines {
			<-m.done
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range w.fleet.machines {
			if err := w.fleet.start(m); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return couldNotRun
			}
		}
		time.Sleep(7 * time.Second)
		w.failing(0)
	}
	clients.Wait()
	return w.judgeBudget("i-b", sent)
}

// failing has the application servers fail a share of their requests.
func (w *world) failing(percent int64) {
	w.record.note("the engines of clairiere fail %d in 100 requests", percent)
	for _, e := range w.engines {
		if !e.model {
			e.errorShare.Store(percent)
		}
	}
}

// judgeBudget checks the repeats at the engines of a service, whose IDs begin with engines, in all windows, against the requests that
// consumers sent for it in the window, the one before it or the one half a window before it, whichever has most.
func (w *world) judgeBudget(engines string, sent []time.Time) int {
	w.record.mu.Lock()
	var repeated []time.Time
	for _, runs := range w.record.runs {
		first := true
		for _, one := range runs {
			if one.what != "began" || !strings.HasPrefix(one.engine, engines) {
				continue
			}
			if !first {
				repeated = append(repeated, one.at)
			}
			first = false
		}
	}
	w.record.mu.Unlock()
	within := func(list []time.Time, from time.Time) int {
		n := 0
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstRepeats, worstBound := 0.0, 0, 0.0
	for _, from := range repeated {
		requests := max(within(sent, from), within(sent, from.Add(-budgetWindow/2)), within(sent, from.Add(-budgetWindow)))
		bound := budgetRatio*float64(requests) + budgetFloor
		if n := within(repeated, from); float64(n)/bound > worst {
			worst, worstRepeats, worstBound = float64(n)/bound, n, bound
		}
	}
	summary := fmt.Sprintf("sent %d, repeated arrivals %d; most in some %v against the bound: %d, allowed %.0f", len(sent), len(repeated), budgetWindow, worstRepeats, worstBound)
	fmt.Println(summary)
	w.record.note("%s", summary)
	if worst > 1 {
		return broken
	}
	return held
}

// second: engines crash and are back under other IDs, and some send answers that reject a request a second time.
func second(w *world) int {
	if !w.begin(false) {
		return couldNotRun
	}
	crashes := make(chan struct{})
	if w.trouble {
		go func() {
			defer close(crashes)
			servers := w.engines[9:]
			// Half of the engines send second answers.
			servers[0].repeatsRejections.Store(true)
			servers[2].repeatsRejections.Store(true)
			for n := range 17 {
				time.Sleep(4 * time.Second)
				i := n % len(servers)
				next, err := servers[i].crash(crashTime, fmt.Sprintf("i-b%02d", 4+n))
				if err != nil {
					w.record.note("engine does not start: %v", err)
					return
				}
				servers[i] = next
			}
		}()
	} else {
		close(crashes)
	}
	var mu sync.Mutex
	var refused []string
	var sent atomic.Int64
	statuses := map[int]int{}
	var clients sync.WaitGroup
	end := time.Now().Add(80 * time.Second)
	for n := range 90 {
		m := w.fleet.machines[n%len(w.fleet.machines)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c *channel
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.Int64N(int64(400 * time.Millisecond))))
				if c == nil {
					var err error
					if c, err = dial(m.front()); err != nil {
						continue
					}
				}
				r := request{id: nextID(), method: "POST", path: "/puxa403/2f", body: "seat " + fmt.Sprint(rand.IntN(1<<30)), timeLimit: time.Second}
				got := c.send(r)
				sent.Add(1)
				w.record.note("request %s to %s: status %d, complete %v", r.id, m.name, got.status, got.complete)
				mu.Lock()
				statuses[got.status]++
				if got.status == 503 || got.status == 429 {
					refused = append(refused, r.id)
				}
				mu.Unlock()
				if !got.reusable {
					c.conn.Close()
					c = nil
				}
			}
		}()
	}
	clients.Wait()
	<-crashes
	time.Sleep(time.Second)
	twice, ran := 0, 0
	w.record.mu.Lock()
	for id, runs := range w.record.runs {
		n := 0
		for _, one := range runs {
			if one.what == "began" {
				n++
			}
		}
		if n > 1 {
			twice++
			fmt.Fprintf(w.record.file, "request %s ran %d times\n", id, n)
		}
		if n > 0 && slices.Contains(refused, id) {
			ran++
			fmt.Fprintf(w.record.file, "request %s was refused as not run, and has run\n", id)
		}
	}
	w.record.mu.Unlock()
	summary := fmt.Sprintf("sent %d, answers by status %v; refused though they ran: %d, ran more than once: %d", sent.Load(), statuses, ran, twice)
	fmt.Println(summary)
	w.record.note("%s", summary)
	if twice+ran > 0 {
		return broken
	}
	return held
}

// idle: engines close idle channels after a second, while application servers answer with streams.
func idle(w *world) int {
	if w.trouble {
		w.idleTime = time.Second
	}
	if !w.begin(true) {
		return couldNotRun
	}
	return verdict(w.streams(noticePath+"2f", 24, true, 15*time.Second, 40*time.Second))
}
