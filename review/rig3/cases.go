package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var requestCount atomic.Int64

func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1)) }

// alias: another writer's entry lacks fields and has the address of a running engine.
func alias(w *world) int {
	if !w.begin(true) {
		return couldNotRun
	}
	stop := make(chan struct{})
	if w.trouble {
		for i, e := range w.engines {
			if !e.model {
				continue
			}
			key := fmt.Sprintf("servers/exporter-%d", i)
			value, _ := json.Marshal(map[string]any{"service": e.service, "address": e.address, "state": "ready"})
			w.record.note("another writer writes %s: %s", key, value)
			go func() {
				for {
					w.store.put(key, value)
					select {
					case <-stop:
						return
					case <-time.After(heartbeat):
					}
				}
			}()
		}
		time.Sleep(3 * time.Second)
	}
	var sent, whole, refused, lost, kept atomic.Int64
	byEngine := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for n := range 12 {
		m := w.fleet.machines[n%len(w.fleet.machines)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c *channel
			for time.Now().Before(end) {
				if c == nil {
					var err error
					if c, err = dial(m.front()); err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				r := request{id: nextID(), method: "POST", path: "/lohu930/2f", body: "digest " + fmt.Sprint(rand.IntN(1 << 30)), timeLimit: 6 * time.Second}
				part := fmt.Sprintf("%08x", rand.Uint32())
				r.headers = []string{"X-Chiveseam-Model: m", "X-Chiveseam-Token-Usage: 900,60", "X-Chiveseam-Prompt-Prefix: 5c1e07a2:630," + part + ":270"}
				onKept := c.requests > 0
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
	close(stop)
	fmt.Printf("sent %d, whole %d, refused %d, channels closed without a complete answer though the engine had answered in full: %d (%d of them kept channels), by engine %v\n",
		sent.Load(), whole.Load(), refused.Load(), lost.Load(), kept.Load(), byEngine)
	w.record.note("sent %d, whole %d, refused %d, lost %d, on kept channels %d, by engine %v", sent.Load(), whole.Load(), refused.Load(), lost.Load(), kept.Load(), byEngine)
	if kept.Load() > 3 {
		return broken
	}
	return held
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
