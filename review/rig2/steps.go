package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["steps"] = playSteps }

const (
	// eventTokens is the number of tokens that an event usually holds, and wideShare the fraction of events that hold twice as many.
	eventTokens = 3
	wideShare   = 0.03
)

// tokenStream returns the events of the stream of a request: their IDs are the number of tokens up to their end.
func tokenStream(id string) []string {
	h := fnv.New64a()
	h.Write([]byte(id))
	random := rand.New(rand.NewPCG(h.Sum64(), 1))
	var events []string
	tokens := 0
	for range 17 {
		held := eventTokens
		if random.Float64() < wideShare {
			held *= 2
		}
		tokens += held
		events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", tokens, strings.Repeat("tok ", held)))
	}
	return events
}

// playSteps sends SIGHUP to the routers, one after the other, while engines answer streams whose event IDs count tokens.
func playSteps(rec *recorder, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.writeJSON("op/config", modelConfig(map[string]any{
		"name": "quote", "hostname": "shop.example", "prefix": "/quote/", "service": "assist-llm", "kind": "streaming",
		"timeout_ms": 6000, "target_latency_ms": 800, "target_gap_ms": 400, "max_attempts": 1, "priority": 1,
	}))
	handler := func(b *boot, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(idHeader)
		rec.line("run %s at %s", id, b.id)
		w.Header().Set(signatureHeader, b.signature())
		w.Header().Set("Content-Type", "text/event-stream")
		for _, event := range tokenStream(id) {
			select {
			case <-r.Context().Done():
				rec.line("cancelled %s at %s", id, b.id)
				panic(http.ErrAbortHandler)
			case <-time.After(30 * time.Millisecond):
			}
			fmt.Fprint(w, event)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
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
		wg.Go(func() { o.ask(stop, f, func(id string) string { return strings.Join(tokenStream(id), "") }) })
	}
	o.hangUp(f, trouble)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	return o.judge(), nil
}
