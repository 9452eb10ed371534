package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["hotpart"] = hotPart }

const (
	// calmTime is the time before the first request with the part, hotTime that for which they come, and
	// afterTime that for which the others still come.
	calmTime  = 14 * time.Second
	hotTime   = 6 * time.Second
	afterTime = 10 * time.Second
	// hotPerSecond is the number of requests a second with the part, otherPerSecond that of requests with
	// another part, and restPerSecond that of requests with neither.
	hotPerSecond   = 30
	otherPerSecond = 40
	restPerSecond  = 40
	// hotBack is the time after which a crashed engine is back.
	hotBack = 4 * time.Second
)

// hotPart plays a part of a prompt that suddenly gets much of the traffic. With the disruption, it crashes each
// engine that begins to write an answer on it.
func hotPart(e *env) (int, error) {
	st := newStore()
	if err := st.start("127.0.0.1"); err != nil {
		return unable, err
	}
	defer st.server.Close()
	st.put("op/config", configuration(7))
	d := &modelEngines{env: e, store: st, back: hotBack, engines: map[*engine]bool{}}
	for i := range 9 {
		if err := d.boot(i); err != nil {
			return unable, err
		}
	}
	defer d.close()
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
	var wg sync.WaitGroup
	end := time.Now().Add(calmTime + hotTime + afterTime)
	var hot atomic.Bool
	counts := map[string]*counter{}
	feed := func(kind, part string, rate int, until time.Time) {
		c := &counter{}
		counts[kind] = c
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				time.Sleep(time.Second / time.Duration(rate))
				list := f.inRotation()
				if len(list) == 0 {
					continue
				}
				m, id := list[(n*5+rate)%len(list)], fmt.Sprintf("%s-%04d", kind, n)
				parts := "5c1e07a2:210," + part + fmt.Sprintf("%x%06x:100", kind[0], n)
				counts := hot.Load()
				wg.Go(func() {
					status, whole := streamCall(e, m, call{id: id, method: "POST", path: "/chat/2f", host: host, key: consumerK, deadline: timeLimit, prompt: parts, body: id})
					c.add(counts, status == http.StatusOK && whole)
				})
			}
		})
	}
	feed("other", "91bd3f06:250,", otherPerSecond, end)
	feed("rest", "", restPerSecond, end)
	// SOUND_BEFORE=1 has the requests with the part come from the beginning, and be answered until it turns bad.
	soundBefore := os.Getenv("SOUND_BEFORE") == "1"
	if soundBefore {
		feed("hot", poisonedPart+":250,", hotPerSecond, end.Add(-afterTime))
	}
	time.Sleep(calmTime)
	e.record.log("from now on requests with the part come (sound before: %v), and crash engines: %v", soundBefore, e.trouble)
	d.bad.Store(e.trouble)
	hot.Store(true)
	if !soundBefore {
		feed("hot", poisonedPart+":250,", hotPerSecond, end.Add(-afterTime))
	}
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	late, engines := 0, map[string]bool{}
	for i, a := range d.arrivals {
		engines[a.engine] = true
		if i >= 5 && a.at.After(d.arrivals[4].at.Add(contact)) {
			late++
			e.record.log("late: %s at %s, %v after the fifth crash", a.id, a.engine, a.at.Sub(d.arrivals[4].at).Round(time.Millisecond))
		}
	}
	return e.verdict(late > 3, "%d engines crashed; %d requests with the part reached engines later than %v after the fifth crash (more than 3 break BUDGET); meanwhile %s with another part and %s with neither were served whole",
		len(engines), late, contact, counts["other"], counts["rest"])
}

// counter counts requests that were sent while the part was hot, and those that were served.
type counter struct{ sent, served atomic.Int64 }

func (c *counter) add(counts, served bool) {
	if !counts {
		return
	}
	c.sent.Add(1)
	if served {
		c.served.Add(1)
	}
}

func (c *counter) String() string { return fmt.Sprintf("%d of %d", c.served.Load(), c.sent.Load()) }
