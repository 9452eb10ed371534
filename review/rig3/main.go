// Command rig plays a case of the review: router processes on loopback, with stand-ins for the platform's store, the
// engines and the consumers.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held, broken, couldNotRun = 0, 1, 2
)

// world is what a case is played in.
type world struct {
	prefix  string
	store   *store
	fleet   *fleet
	record  *recorder
	trouble bool
	engines []*engine
	// idleTime is the time after which engines close idle channels.
	idleTime time.Duration
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		return couldNotRun
	}
	cases := map[string]func(*world) int{"alias": alias, "junk": junk, "leave": leave, "repeats": repeats, "second": second, "idle": idle}
	run, ok := cases[os.Args[1]]
	if !ok {
		return couldNotRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return couldNotRun
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return couldNotRun
	}
	defer os.RemoveAll(dir)
	w := &world{prefix: network(), record: rec, trouble: os.Getenv("TROUBLE") != "0", idleTime: 15 * time.Second}
	address := fmt.Sprintf("%s1:%d", w.prefix, storePort)
	if w.store, err = newStore(address); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	w.fleet = newFleet(root, dir, w.prefix, address, rec)
	defer w.fleet.stop()
	code := make(chan int, 1)
	go func() { code <- run(w) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case c := <-code:
		return c
	case <-interrupted:
		return couldNotRun
	}
}

// configure writes the operator's configuration: the services and routes of asb-booking.
func (w *world) configure() {
	value, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-digest", "hostname": host, "prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 800,
				"priority": 1, "service": "plume", "max_attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "target_gap_ms": 400},
			map[string]any{"name": "r-chat", "hostname": host, "prefix": "/chat017/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600,
				"priority": 1, "service": "plume", "max_attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "target_gap_ms": 400},
			map[string]any{"name": "r-notice", "hostname": host, "prefix": noticePath, "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600,
				"priority": 1, "service": "clairiere", "max_attempts": 1, "anonymous": false, "sticky": false, "resumable": false, "target_gap_ms": 400},
			map[string]any{"name": "r-seat", "hostname": host, "prefix": "/puxa403/", "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 100,
				"priority": 2, "service": "clairiere", "max_attempts": 2, "anonymous": false, "sticky": false},
			map[string]any{"name": "r-lookup", "hostname": host, "prefix": "/cufi504/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 100,
				"priority": 2, "service": "clairiere", "max_attempts": 2, "anonymous": false, "sticky": false},
		},
		"services": []any{
			map[string]any{"name": "plume", "health_path": "/health", "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 601907, "kv_token_bytes": 1000, "link_mbps": 1000}},
			map[string]any{"name": "clairiere", "health_path": "/health"},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 400000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}}},
	})
	w.store.put("op/config", value)
}

// startEngines starts nine model engines and four application servers.
func (w *world) startEngines(unframed bool) error {
	zone := func(i int) string { return zones[(i*2)%len(zones)] }
	for i := range 9 {
		w.engines = append(w.engines, &engine{
			id: fmt.Sprintf("i-a%02d", i), service: "plume", address: fmt.Sprintf("%s%d:8443", w.prefix, 100+i), zone: zone(i), version: "v1", model: true,
			slots: 64, unframed: unframed, events: 17, pause: 30 * time.Millisecond, idleTime: w.idleTime, store: w.store, record: w.record,
		})
	}
	for i := range 4 {
		w.engines = append(w.engines, &engine{
			id: fmt.Sprintf("i-b%02d", i), service: "clairiere", address: fmt.Sprintf("%s%d:8443", w.prefix, 120+i), zone: zone(i), version: "v1",
			slots: 6, work: 30 * time.Millisecond, unframed: unframed, events: 30, pause: 100 * time.Millisecond, idleTime: w.idleTime, store: w.store, record: w.record,
		})
	}
	for _, e := range w.engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// begin configures the platform and starts the engines and the fleet.
func (w *world) begin(unframed bool) bool {
	w.configure()
	if err := w.startEngines(unframed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	for _, m := range w.fleet.machines {
		if err := w.fleet.start(m); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
	}
	if !w.fleet.awaitReady(15 * time.Second) {
		fmt.Fprintln(os.Stderr, "the fleet did not become ready")
		return false
	}
	time.Sleep(5 * time.Second)
	return true
}
