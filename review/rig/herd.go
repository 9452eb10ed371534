package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["herd"] = herdKill }

const (
	// warmTime is the time before the first request with the part, findTime that in which it is found out.
	warmTime = 9 * time.Second
	findTime = 12 * time.Second
	// againTime is the time for which requests with the part come to all machines after the kill.
	againTime = 20 * time.Second
	// poisonEvery is the time between two requests with the part, all different.
	poisonEvery = 1200 * time.Millisecond
	// soundPerSecond is the number of other requests a second.
	soundPerSecond = 20
	// killed is the number of machines whose processes are killed, restartTime the time until they start again.
	killed      = 3
	restartTime = 500 * time.Millisecond
)

// herdKill plays a prompt part that crashes engines and that all machines have found out. With the disruption,
// half of the machines are killed at the same moment and start again.
func herdKill(e *env) (int, error) {
	st := newStore()
	if err := st.start("127.0.0.1"); err != nil {
		return unable, err
	}
	defer st.server.Close()
	st.put("op/config", configuration(7))
	d := &modelEngines{env: e, store: st, back: engineBack, engines: map[*engine]bool{}}
	d.bad.Store(true)
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
	var sent, served, cut atomic.Int64
	var wg sync.WaitGroup
	over := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-over:
				return
			case <-time.After(time.Second / soundPerSecond):
			}
			list := f.inRotation()
			if len(list) == 0 {
				continue
			}
			m := list[n%len(list)]
			id := fmt.Sprintf("sound-%05d", n)
			wg.Go(func() {
				status, whole := streamCall(e, m, call{id: id, method: "POST", path: "/chat/2f", host: host, key: consumerK, deadline: timeLimit,
					prompt: fmt.Sprintf("5c1e07a2:210,91bd3f06:250,%08x:100", n+1), body: id})
				sent.Add(1)
				switch {
				case status == http.StatusOK && whole:
					served.Add(1)
				case status == http.StatusOK || status == 0 || status == http.StatusBadGateway:
					cut.Add(1)
				}
			})
		}
	})
	sentBy := map[string]inTouch{}
	number := 0
	// come sends requests with the part to machines in turn, for a time.
	come := func(machines []*machine, length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(poisonEvery) {
			m := machines[number%len(machines)]
			number++
			id := fmt.Sprintf("poison-%03d", number)
			up := time.Since(m.startedAt())
			sentBy[id] = inTouch{m.name, up > contact}
			status, _ := streamCall(e, m, call{id: id, method: "POST", path: "/chat/2f", host: host, key: consumerK, deadline: timeLimit,
				prompt: fmt.Sprintf("5c1e07a2:210,%s:250,%08x:100", poisonedPart, 1<<24+number), body: id})
			e.record.log("%s to %s, up for %v: %d", id, m.name, up.Round(time.Millisecond), status)
		}
	}
	time.Sleep(warmTime)
	come(f.machines, findTime)
	d.mu.Lock()
	first := len(d.arrivals)
	d.mu.Unlock()
	if e.trouble {
		var kills sync.WaitGroup
		for _, m := range f.machines[:killed] {
			kills.Go(func() { m.end(syscall.SIGKILL) })
		}
		kills.Wait()
		time.Sleep(restartTime)
		for _, m := range f.machines[:killed] {
			if err := m.start(); err != nil {
				return unable, err
			}
		}
	}
	// Until the machines that were killed are in touch again, the part comes to the others.
	come(f.machines[killed:], contact+500*time.Millisecond)
	come(f.machines, againTime)
	close(over)
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.arrivals) < 5 {
		return unable, fmt.Errorf("only %d engines crashed", len(d.arrivals))
	}
	late := 0
	for i, a := range d.arrivals {
		by := sentBy[a.id]
		counts := a.at.After(d.arrivals[4].at.Add(contact)) && by.touch
		if counts {
			late++
		}
		e.record.log("crash %d: %s at %s, sent by %s (in touch: %v), counts: %v", i+1, a.id, a.engine, by.machine, by.touch, counts)
	}
	return e.verdict(late > 3, "%d engines crashed, %d of them before the kill; %d were reached by machines in touch later than %v after the fifth crash (more than 3 break BUDGET); of %d sound requests %d were served, %d were cut off or lost",
		len(d.arrivals), first, late, contact, sent.Load(), served.Load(), cut.Load())
}
