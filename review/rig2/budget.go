package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["budget"] = playBudget }

const (
	// budgetWindow, budgetRatio and budgetMin are bounds of the deployment.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetMin    = 52
	// failShare is the fraction of requests that the engines fail while they do, for failTime.
	failShare = 0.45
	failTime  = 4 * time.Second
	// requestRate is the number of requests a second.
	requestRate = 150
)

// playBudget kills all router processes at once between two times in which the engines of a service fail a part of their requests.
func playBudget(rec *recorder, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.writeJSON("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "status", "hostname": "shop.example", "prefix": "/status/", "service": "order-desk", "kind": "idempotent",
			"timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 2, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "order-desk", "health_path": "/health"}},
		"tenants":  []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 500000},
	})
	var mu sync.Mutex
	var sent, again []time.Time
	seen := map[string]bool{}
	failing := false
	handler := func(b *boot, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(idHeader)
		mu.Lock()
		if seen[id] {
			again = append(again, time.Now())
		}
		rec.line("run %s at %s, again %v", id, b.id, seen[id])
		seen[id] = true
		fails := failing && rand.Float64() < failShare
		mu.Unlock()
		time.Sleep(15*time.Millisecond + rand.N(30*time.Millisecond))
		w.Header().Set(signatureHeader, b.signature())
		if fails {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		body := strings.Repeat("s", 800)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		fmt.Fprint(w, body)
	}
	for i := range 4 {
		e := &engine{store: s, id: fmt.Sprintf("i-%d", i+1), service: "order-desk", zone: zones[i], slots: 6, handler: handler}
		if err := e.start("v1", 0); err != nil {
			return false, err
		}
	}
	f, err := startFleet(s.address, 6)
	defer f.stop()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	statuses := map[int]int{}
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / requestRate)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			wg.Go(func() {
				list := f.rotation()
				r := list[rand.IntN(len(list))]
				q := &request{method: "GET", host: "shop.example", path: "/status/1", id: newRequestID(), key: "key-1", deadline: 1500 * time.Millisecond}
				mu.Lock()
				sent = append(sent, time.Now())
				mu.Unlock()
				rec.line("send %s to %s", q.id, r.name)
				a := send(r.listen(), q, nil)
				rec.line("answer %s status %d complete %v", q.id, a.status, a.complete)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			})
		}
	})
	setFailing := func(on bool) {
		mu.Lock()
		failing = on
		mu.Unlock()
		rec.say("engines fail %.2f of their requests: %v", failShare, on)
	}
	time.Sleep(22 * time.Second)
	setFailing(true)
	time.Sleep(failTime)
	setFailing(false)
	if trouble {
		rec.say("all router processes are killed")
		var restarts sync.WaitGroup
		for _, r := range f.routers {
			restarts.Go(func() { r.restart(syscall.SIGKILL) })
		}
		restarts.Wait()
	} else {
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(1200 * time.Millisecond)
	setFailing(true)
	time.Sleep(failTime)
	setFailing(false)
	time.Sleep(11 * time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	count := func(list []time.Time, from time.Time) int {
		n := 0
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, broken := "", false
	over := -1e9
	for _, from := range again {
		requests := max(count(sent, from), count(sent, from.Add(-budgetWindow)), count(sent, from.Add(-budgetWindow/2)))
		allowed := budgetRatio*float64(requests) + budgetMin
		n := count(again, from)
		if d := float64(n) - allowed; d > over {
			over = d
			worst = fmt.Sprintf("%d arrivals beyond the first in %v from second %.1f, %.0f are allowed for %d requests", n, budgetWindow, from.Sub(rec.began).Seconds(), allowed, requests)
		}
		broken = broken || float64(n) > allowed
	}
	rec.say("%d requests, statuses %v; worst window: %s", len(sent), statuses, worst)
	return broken, nil
}
