package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["part"] = crashingPart }

const (
	// poisonedPart crashes each engine that begins to write an answer on it.
	poisonedPart = "de4d0001"
	// poisonEvery is the time between two requests with it, all different.
	poisonEvery = 2500 * time.Millisecond
	poisonTime  = 70 * time.Second
	// soundPerSecond is the number of other requests a second.
	soundPerSecond = 20
)

// modelEngines runs model engines that start again under the ids that they had.
type modelEngines struct {
	env   *env
	store *store

	mu       sync.Mutex
	closed   bool
	engines  []*engine
	arrivals []arrival
}

func (d *modelEngines) boot(number int, address string) error {
	x := &engine{
		id: fmt.Sprintf("i-%d", number+1), service: "assist-llm", version: "v1", zone: zoneNames[number%4], slots: 64,
		events: 10, eventPause: 20 * time.Millisecond, store: d.store, record: d.env.record, crashPart: poisonedPart,
	}
	x.onCrash = func(request string) { d.crash(x, number, request) }
	if err := x.startAt(address); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines[number] = x
	return nil
}

func (d *modelEngines) crash(x *engine, number int, request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals = append(d.arrivals, arrival{time.Now(), request, x.id})
	d.env.record.log("engine %s: crashes under %s (crash %d)", x.id, request, len(d.arrivals))
	if d.engines[number] != x {
		return
	}
	d.engines[number] = nil
	x.reset()
	time.AfterFunc(engineBack, func() {
		d.mu.Lock()
		closed := d.closed
		d.mu.Unlock()
		if closed {
			return
		}
		if err := d.boot(number, x.address); err != nil {
			d.env.record.log("engine %d is not back: %v", number, err)
		}
	})
}

func crashingPart(e *env) (int, error) {
	st := newStore()
	if err := st.start("127.0.0.1"); err != nil {
		return unable, err
	}
	defer st.server.Close()
	st.put("op/config", configuration(7))
	count := 3
	if n, err := strconv.Atoi(os.Getenv("ENGINES")); err == nil {
		count = n
	}
	d := &modelEngines{env: e, store: st, engines: make([]*engine, count)}
	for i := range count {
		if err := d.boot(i, "127.0.0.1:0"); err != nil {
			return unable, err
		}
	}
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.closed = true
		for _, x := range d.engines {
			if x != nil {
				x.server.Close()
			}
		}
	}()
	f, err := newFleet(e.dir, e.root, st.address, e.record, 6)
	if err != nil {
		return unable, err
	}
	defer f.close()
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return unable, err
		}
	}
	done := make(chan struct{})
	defer close(done)
	go f.watchReady(done)
	if err := f.awaitReady(6, 15*time.Second); err != nil {
		return unable, err
	}
	time.Sleep(contact)
	var sent, served, cut atomic.Int64
	var wg sync.WaitGroup
	one := func(m *machine, id, parts string) {
		status, whole := streamCall(e, m, call{id: id, method: "POST", path: "/chat/2f", host: host, key: consumerK, deadline: timeLimit, prompt: parts, body: id})
		sent.Add(1)
		switch {
		case status == http.StatusOK && whole:
			served.Add(1)
		case status == http.StatusOK || status == 0 || status == http.StatusBadGateway:
			cut.Add(1)
		}
	}
	end := time.Now().Add(poisonTime)
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			list := f.inRotation()
			m := list[n%len(list)]
			wg.Go(func() { one(m, fmt.Sprintf("sound-%05d", n), fmt.Sprintf("5c1e07a2:210,91bd3f06:250,%08x:100", n+1)) })
			time.Sleep(time.Second / soundPerSecond)
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(poisonEvery)
		if !e.trouble {
			continue
		}
		list := f.inRotation()
		id := fmt.Sprintf("poison-%03d", n)
		status, _ := streamCall(e, list[(n*5)%len(list)], call{
			id: id, method: "POST", path: "/chat/2f", host: host, key: consumerK, deadline: timeLimit,
			prompt: fmt.Sprintf("5c1e07a2:210,%s:250,%08x:100", poisonedPart, 1<<24+n), body: id,
		})
		e.record.log("%s: %d", id, status)
	}
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	late := 0
	for i, a := range d.arrivals {
		if i >= 5 && a.at.After(d.arrivals[4].at.Add(contact)) {
			late++
		}
	}
	return e.verdict(late > 3, "%d engines crashed, %d of them under requests with the part that arrived later than %v after the fifth crash (more than 3 break BUDGET); of %d sound requests %d were served, %d were cut off or lost",
		len(d.arrivals), late, contact, sent.Load(), served.Load(), cut.Load())
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
