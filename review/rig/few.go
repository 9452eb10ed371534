package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// It is no case of the review: see REPORT.md.
func init() { cases["few"] = fewEngines }

const (
	fewCount = 3
	fewTime  = 70 * time.Second
	fewEvery = 2500 * time.Millisecond
)

// fewEngines plays a prompt part that crashes engines, at a service of few engines, which start again under the
// ids that they had.
func fewEngines(e *env) (int, error) {
	st := newStore()
	if err := st.start("127.0.0.1"); err != nil {
		return unable, err
	}
	defer st.server.Close()
	st.put("op/config", configuration(7))
	d := &modelEngines{env: e, store: st, back: engineBack, keepIDs: true, engines: map[*engine]bool{}}
	d.bad.Store(true)
	for i := range fewCount {
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
	var sent, served atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(fewTime)
	one := func(m *machine, id, part string, number int) bool {
		status, whole := streamCall(e, m, call{id: id, method: "POST", path: "/chat/2f", host: host, key: consumerK, deadline: timeLimit,
			prompt: fmt.Sprintf("5c1e07a2:210,%s:250,%08x:100", part, number), body: id})
		return status == http.StatusOK && whole
	}
	wg.Go(func() {
		for n := 1; time.Now().Before(end); n++ {
			m := f.machines[n%len(f.machines)]
			wg.Go(func() {
				sent.Add(1)
				if one(m, fmt.Sprintf("sound-%05d", n), "91bd3f06", n) {
					served.Add(1)
				}
			})
			time.Sleep(time.Second / soundPerSecond)
		}
	})
	for n := 1; time.Now().Before(end); n++ {
		time.Sleep(fewEvery)
		if e.trouble {
			one(f.machines[n%len(f.machines)], fmt.Sprintf("poison-%03d", n), poisonedPart, 1<<24+n)
		}
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
	return e.verdict(late > 3, "%d runs crashed an engine, %d of them later than %v after the fifth (more than 3 break BUDGET); %d of %d sound requests were served",
		len(d.arrivals), late, contact, served.Load(), sent.Load())
}
