package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["halves"] = playHalves }

const (
	// preemptedShare is the fraction of streams that an engine preempts, within an event, and preemptedTime for how long.
	preemptedShare = 0.05
	preemptedTime  = 2500 * time.Millisecond
)

// playHalves sends SIGHUP to the routers, one after the other, while engines answer streams token by token, and preempt a few of them
// between two tokens of an event.
func playHalves(rec *recorder, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.writeJSON("op/config", modelConfig(map[string]any{
		"name": "quote", "hostname": "shop.example", "prefix": "/quote/", "service": "assist-llm", "kind": "streaming",
		"timeout_ms": 6000, "target_latency_ms": 800, "target_gap_ms": 400, "max_attempts": 1, "priority": 1,
	}))
	const events = 17
	event := func(n int) (first, rest string) {
		return fmt.Sprintf("id: %d\ndata: tok", n), " tok tok\n\n"
	}
	var sound strings.Builder
	for n := 1; n <= events; n++ {
		first, rest := event(n)
		sound.WriteString(first + rest)
	}
	handler := func(b *boot, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(idHeader)
		preemptedAt := 0
		if rand.Float64() < preemptedShare {
			preemptedAt = 1 + rand.IntN(events)
		}
		rec.line("run %s at %s, preempted in event %d (0: not)", id, b.id, preemptedAt)
		w.Header().Set(signatureHeader, b.signature())
		w.Header().Set("Content-Type", "text/event-stream")
		write := func(text string, after time.Duration) {
			select {
			case <-r.Context().Done():
				rec.line("cancelled %s at %s", id, b.id)
				panic(http.ErrAbortHandler)
			case <-time.After(after):
			}
			fmt.Fprint(w, text)
			if http.NewResponseController(w).Flush() != nil {
				panic(http.ErrAbortHandler)
			}
		}
		for n := 1; n <= events; n++ {
			first, rest := event(n)
			write(first, 10*time.Millisecond)
			pause := 20 * time.Millisecond
			if n == preemptedAt {
				pause = preemptedTime
			}
			write(rest, pause)
		}
		rec.line("whole %s at %s", id, b.id)
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
	o := &outcomes{rec: rec, hangups: map[string][]time.Time{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 24 {
		wg.Go(func() { o.ask(stop, f, func(string) string { return sound.String() }) })
	}
	o.hangUp(f, trouble)
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	return o.judge(), nil
}
