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

func init() { cases["restore"] = playRestore }

const (
	// copyAge is how old the copy is from which the store comes back, awayTime how long it is away, and rewriteAfter how long after
	// its return the operator writes again.
	copyAge      = 5 * time.Second
	awayTime     = 500 * time.Millisecond
	rewriteAfter = 8 * time.Second
)

// restoreConfig returns a configuration in which some keys belong to a tenant.
func restoreConfig(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "booking", "hostname": "shop.example", "prefix": "/booking/", "service": "order-desk", "kind": "non_idempotent",
			"timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 1, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "order-desk", "health_path": "/health"}},
		"tenants":  []any{map[string]any{"name": "shop", "api_keys": keys}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 500000},
	}
}

// playRestore has the store come back from a copy that is older than the configuration in force, while one router is killed and starts
// again.
func playRestore(rec *recorder, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.writeJSON("op/config", restoreConfig(3, "key-1", "key-2"))
	var mu sync.Mutex
	runs := map[string]bool{}
	handler := func(b *boot, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs[r.Header.Get(idHeader)] = true
		mu.Unlock()
		rec.line("run %s at %s", r.Header.Get(idHeader), b.id)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set(signatureHeader, b.signature())
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
	var revokedAt, restoredAt time.Time
	startedAt := map[string]time.Time{}
	broken := 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 12 {
		key := "key-1"
		if c < 4 {
			key = "key-2"
		}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(300 * time.Millisecond)):
				}
				list := f.rotation()
				r := list[rand.IntN(len(list))]
				q := &request{method: "POST", host: "shop.example", path: "/booking/1", id: newRequestID(), key: key, body: "b", deadline: 1500 * time.Millisecond}
				a := send(r.listen(), q, nil)
				rec.line("answer %s (%s) from %s status %d", q.id, key, r.name, a.status)
				mu.Lock()
				if key == "key-2" && runs[q.id] && !revokedAt.IsZero() && a.sentAt.After(revokedAt.Add(configApply)) &&
					(startedAt[r.name].IsZero() || a.sentAt.After(startedAt[r.name].Add(contact))) && (restoredAt.IsZero() || a.sentAt.After(restoredAt.Add(contact))) {
					broken++
					rec.line("%s runs by %s with the key that was taken away %v before", q.id, r.name, a.sentAt.Sub(revokedAt).Round(time.Millisecond))
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(10 * time.Second)
	c := s.copyOf()
	time.Sleep(time.Second)
	rec.say("the operator takes a key away")
	at := s.writeJSON("op/config", restoreConfig(7, "key-1"))
	mu.Lock()
	revokedAt = at
	mu.Unlock()
	time.Sleep(copyAge - time.Second)
	rec.say("the store is away for %v", awayTime)
	s.leave()
	killed := f.routers[4]
	if trouble {
		rec.say("%s is killed", killed.name)
		<-killed.signal(syscall.SIGKILL)
	}
	time.Sleep(awayTime)
	rec.say("the store is back from a copy of %v before", copyAge)
	s.restore(c)
	mu.Lock()
	restoredAt = time.Now()
	mu.Unlock()
	time.AfterFunc(rewriteAfter, func() {
		rec.say("the operator writes again")
		s.writeJSON("op/config", restoreConfig(7, "key-1"))
	})
	if trouble {
		time.Sleep(100 * time.Millisecond)
		if err := killed.start(); err != nil {
			return false, err
		}
		mu.Lock()
		startedAt[killed.name] = time.Now()
		mu.Unlock()
		rec.say("%s is started again", killed.name)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()
	rec.say("%d requests ran with the key that was taken away, at machines in touch", broken)
	return broken > 0, nil
}
