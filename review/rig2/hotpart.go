package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["hotpart"] = playHotPart }

const (
	// contact is contact_ms of the deployment.
	contact = 3 * time.Second
	// crashingPart is the part of a prompt that crashes engines.
	crashingPart = "deadbeef"
	// downTime is how long an engine is away after a crash.
	downTime = 2500 * time.Millisecond
	// soundRate is the number of requests a second without the part, and partRate that of those with it.
	soundRate = 70
	partRate  = 27
	// allowedLate is the number of requests with the part that may reach engines late.
	allowedLate = 3
	// An engine crashes between leastCrashTime and three times that after it has begun to write the answer.
	leastCrashTime = 150 * time.Millisecond
)

// playHotPart has a part of prompts that engines answer crash them from some time on.
func playHotPart(rec *recorder, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.writeJSON("op/config", modelConfig(map[string]any{
		"name": "quote", "hostname": "shop.example", "prefix": "/quote/", "service": "assist-llm", "kind": "streaming",
		"timeout_ms": 6000, "target_latency_ms": 800, "target_gap_ms": 400, "max_attempts": 1, "priority": 1,
	}))
	var bad atomic.Bool
	var mu sync.Mutex
	var crashes []time.Time
	late, reached := 0, 0
	handler := func(b *boot, w http.ResponseWriter, r *http.Request) {
		began, crashAfter := time.Now(), leastCrashTime+rand.N(2*leastCrashTime)
		id := r.Header.Get(idHeader)
		crashing := bad.Load() && strings.Contains(r.Header.Get("X-Chiveseam-Prompt-Prefix"), crashingPart)
		if crashing {
			mu.Lock()
			reached++
			counts := len(crashes) >= 5 && time.Since(crashes[4]) > contact
			if counts {
				late++
			}
			rec.line("run %s with the part at %s, crashes before %d, late %v", id, b.id, len(crashes), counts)
			mu.Unlock()
		}
		w.Header().Set(signatureHeader, b.signature())
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 40; n++ {
			select {
			case <-b.ended:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(30 * time.Millisecond):
			}
			fmt.Fprintf(w, "id: %d\ndata: token\n\n", n)
			if http.NewResponseController(w).Flush() != nil {
				panic(http.ErrAbortHandler)
			}
			if crashing && time.Since(began) >= crashAfter {
				if b.crash() {
					mu.Lock()
					crashes = append(crashes, time.Now())
					rec.line("%s crashes", b.id)
					mu.Unlock()
					time.AfterFunc(downTime, func() { b.start(b.version, 0) })
				}
				panic(http.ErrAbortHandler)
			}
		}
	}
	for i := range 9 {
		e := &engine{store: s, id: fmt.Sprintf("i-%d", i+1), service: "assist-llm", zone: zones[i%4], slots: 64, model: true, handler: handler}
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
	statuses := map[string]int{}
	ask := func(kind, parts string) {
		list := f.rotation()
		r := list[rand.IntN(len(list))]
		q := &request{method: "POST", host: "shop.example", path: "/quote/1", id: newRequestID(), key: "key-1", body: newRequestID(), deadline: 6 * time.Second}
		q.header = []string{"X-Chiveseam-Model: m", "X-Chiveseam-Token-Usage: 400,30", "X-Chiveseam-Prompt-Prefix: " + parts}
		a := send(r.listen(), q, nil)
		rec.line("answer %s from %s status %d complete %v, %s", q.id, r.name, a.status, a.complete, kind)
		mu.Lock()
		statuses[fmt.Sprintf("%s %d %v", kind, a.status, a.complete)]++
		mu.Unlock()
	}
	arrivals := func(perSecond int, kind string, parts func() string) {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(perSecond))):
					wg.Go(func() { ask(kind, parts()) })
				}
			}
		})
	}
	arrivals(soundRate, "sound", func() string {
		return fmt.Sprintf("5c1e07a0:200,77aa%02x:100,91bd3f%02x:100,%08x:50", rand.IntN(16), rand.IntN(40), rand.Uint32())
	})
	withPart := func() string {
		parts := []string{"5c1e07a0:200", fmt.Sprintf("77aa%02x:100", rand.IntN(16)), fmt.Sprintf("91bd3f%02x:100", rand.IntN(40))}
		parts[rand.IntN(3)] = crashingPart + ":100"
		return strings.Join(parts, ",") + fmt.Sprintf(",%08x:50", rand.Uint32())
	}
	arrivals(partRate, "part", withPart)
	time.Sleep(15 * time.Second)
	bad.Store(trouble)
	rec.say("from now on the part crashes engines: %v", trouble)
	time.Sleep(40 * time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.say("%d crashes, %d requests with the part reached engines since, %d of them late (%d are allowed); answers %v", len(crashes), reached, late, allowedLate, statuses)
	return late > allowedLate, nil
}
