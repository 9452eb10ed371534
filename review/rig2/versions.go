package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = playVersions }

const (
	streamEvents = 20
	eventPause   = 150 * time.Millisecond
	// restartTime is how long an engine is down, and gateTime the time after which the next one is restarted once one is back.
	restartTime = 2 * time.Second
	gateTime    = 700 * time.Millisecond
	// registerLag is the time from an engine's start to its first check-in, less than a heartbeat.
	registerLag = time.Second
)

// serveEvents answers with the events of a stream after Last-Event-Id. Each names the version of the software that wrote it.
func serveEvents(rec *recorder) func(b *boot, w http.ResponseWriter, r *http.Request) {
	return func(b *boot, w http.ResponseWriter, r *http.Request) {
		last := 0
		if text := r.Header.Get("Last-Event-Id"); text != "" {
			last, _ = strconv.Atoi(text)
		}
		rec.line("run %s at %s version %s after event %d", r.Header.Get(idHeader), b.id, b.version, last)
		w.Header().Set(signatureHeader, b.signature())
		w.Header().Set("Content-Type", "text/event-stream")
		flusher := http.NewResponseController(w)
		for n := last + 1; n <= streamEvents; n++ {
			select {
			case <-b.ended:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(eventPause):
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, b.version)
			if flusher.Flush() != nil {
				return
			}
		}
	}
}

// eventsOf returns the numbers and versions of the whole events of a body.
func eventsOf(body string) (ids []int, versions []string) {
	for {
		event, rest, whole := strings.Cut(body, "\n\n")
		if !whole {
			return ids, versions
		}
		body = rest
		id, version := 0, ""
		for line := range strings.SplitSeq(event, "\n") {
			if text, ok := strings.CutPrefix(line, "id: "); ok {
				id, _ = strconv.Atoi(text)
			}
			if text, ok := strings.CutPrefix(line, "data: "); ok {
				version = text
			}
		}
		ids, versions = append(ids, id), append(versions, version)
	}
}

// playVersions restarts the engines of a service one after the other, each under its ID and with a new software version, while streams
// that may be resumed run there.
func playVersions(rec *recorder, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.writeJSON("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "progress", "hostname": "shop.example", "prefix": "/progress/", "service": "order-desk", "kind": "streaming", "resumable": true,
			"timeout_ms": 12000, "target_latency_ms": 800, "target_gap_ms": 400, "max_attempts": 2, "priority": 1,
		}},
		"services": []any{map[string]any{"name": "order-desk", "health_path": "/health"}},
		"tenants":  []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 500000},
	})
	var engines []*engine
	for i := range 4 {
		e := &engine{store: s, id: fmt.Sprintf("i-%d", i+1), service: "order-desk", zone: zones[i], slots: 64, handler: serveEvents(rec)}
		if err := e.start("v1", 0); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	f, err := startFleet(s.address, 6)
	defer f.stop()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	mixed, streams, resumed, whole := 0, 0, 0, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 60 {
		wg.Go(func() {
			time.Sleep(time.Duration(c) * 50 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				first, versions, last := "", map[string]bool{}, 0
				began := time.Now()
				for try := range 2 {
					list := f.rotation()
					r := list[rand.IntN(len(list))]
					q := &request{method: "POST", host: "shop.example", path: "/progress/1", id: newRequestID(), key: "key-1", body: "x",
						deadline: 12*time.Second - time.Since(began)}
					if last > 0 {
						q.header = []string{"Last-Event-Id: " + strconv.Itoa(last), "Resumes: " + first}
					}
					rec.line("send %s to %s after event %d", q.id, r.name, last)
					a := send(r.listen(), q, nil)
					ids, names := eventsOf(a.body)
					rec.line("answer %s from %s status %d complete %v events %v versions %v", q.id, r.name, a.status, a.complete, ids, names)
					if len(ids) > 0 && a.status == 200 {
						if last == 0 {
							first = q.id
						}
						last = ids[len(ids)-1]
						for _, v := range names {
							versions[v] = true
						}
					}
					if a.status == 200 && a.complete {
						mu.Lock()
						whole++
						mu.Unlock()
						break
					}
					if try == 0 {
						mu.Lock()
						resumed++
						mu.Unlock()
						time.Sleep(200 * time.Millisecond)
					}
				}
				mu.Lock()
				streams++
				if len(versions) > 1 {
					mixed++
					rec.line("stream %s holds events of two versions", first)
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for round := range 3 {
			for _, e := range engines {
				rec.say("%s crashes", e.id)
				e.crash()
				time.Sleep(restartTime)
				version := fmt.Sprintf("v%d", round+2)
				if err := e.start(version, registerLag); err != nil {
					return false, err
				}
				rec.say("%s is back with version %s", e.id, version)
				time.Sleep(gateTime)
			}
			time.Sleep(5 * time.Second)
		}
	} else {
		time.Sleep(45 * time.Second)
	}
	close(stop)
	wg.Wait()
	rec.say("%d streams, %d whole, %d taken up by consumers, %d hold events of two software versions (2 are allowed)", streams, whole, resumed, mixed)
	return mixed > 2, nil
}
