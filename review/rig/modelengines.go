package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// poisonedPart crashes each engine that begins to write an answer on it.
const poisonedPart = "de4d0001"

// modelEngines runs model engines that crash under a part if it is bad. They are back as new boots with new ids.
type modelEngines struct {
	env   *env
	store *store
	// back is the time after which a crashed engine is back.
	back time.Duration
	// keepIDs is set if engines start again under the ids that they had.
	keepIDs bool
	bad     atomic.Bool

	mu       sync.Mutex
	boots    int
	closed   bool
	engines  map[*engine]bool
	arrivals []arrival
}

func (d *modelEngines) boot(zone int) error {
	d.mu.Lock()
	d.boots++
	id := fmt.Sprintf("i-%d", d.boots)
	if d.keepIDs {
		id = fmt.Sprintf("i-zone%d", zone)
	}
	x := &engine{
		id: id, service: "assist-llm", version: "v1", zone: zoneNames[zone%4], slots: 64,
		events: 50, eventPause: 20 * time.Millisecond, store: d.store, record: d.env.record, crashPart: poisonedPart, crashing: d.bad.Load, quiet: true,
	}
	d.mu.Unlock()
	x.onCrash = func(request string) { d.crash(x, zone, request) }
	if err := x.start("127.0.0.1"); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines[x] = true
	return nil
}

func (d *modelEngines) crash(x *engine, zone int, request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals = append(d.arrivals, arrival{time.Now(), request, x.id})
	d.env.record.log("engine %s: crashes under %s (run %d)", x.id, request, len(d.arrivals))
	if !d.engines[x] {
		return
	}
	delete(d.engines, x)
	x.reset()
	if !d.keepIDs {
		time.AfterFunc(lapse, func() { d.store.remove("servers/" + x.id) })
	}
	time.AfterFunc(d.back, func() {
		d.mu.Lock()
		closed := d.closed
		d.mu.Unlock()
		if closed {
			return
		}
		if err := d.boot(zone); err != nil {
			d.env.record.log("engine is not back: %v", err)
		}
	})
}

// close ends all engines.
func (d *modelEngines) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for x := range d.engines {
		x.server.Close()
	}
}

// streamCall sends a request for a stream on a new channel. It returns the status, 0 without an answer, and
// whether the answer was whole.
func streamCall(e *env, m *machine, c call) (int, bool) {
	conn, br, err := dial(m)
	if err != nil {
		return -1, false
	}
	defer conn.Close()
	resp, err := send(conn, br, c)
	if err != nil {
		e.record.log("%s: no answer: %v", c.id, err)
		return 0, false
	}
	body := newEventReader(resp.Body)
	for {
		if _, err := readEvent(body); err != nil {
			whole := err.Error() == "EOF"
			if resp.StatusCode == http.StatusOK && !whole {
				e.record.log("%s: the stream breaks off: %v", c.id, err)
			}
			return resp.StatusCode, whole
		}
	}
}
