package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// configApply is config_apply_ms of the deployment.
const configApply = 2 * time.Second

// outcomes counts streams on the route /quote/ by how they ended. It is safe for concurrent use.
type outcomes struct {
	rec *recorder

	mu                        sync.Mutex
	hangups                   map[string][]time.Time
	lost, cut, whole, refused int
}

// ask sends requests one after the other, and compares the answers with those of a sound engine.
func (o *outcomes) ask(stop chan struct{}, f *fleet, soundAnswer func(id string) string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(200 * time.Millisecond)):
		}
		r := f.routers[rand.IntN(len(f.routers))]
		q := &request{method: "POST", host: "shop.example", path: "/quote/1", id: newRequestID(), key: "key-1", body: strings.Repeat("x", 2000), deadline: 6 * time.Second}
		q.header = []string{"X-Chiveseam-Model: m", "X-Chiveseam-Token-Usage: 200,80", fmt.Sprintf("X-Chiveseam-Prompt-Prefix: 5c1e07a2:100,91bd3f06:50,%08x:50", rand.Uint32())}
		a := send(r.listen(), q, nil)
		sound := soundAnswer(q.id)
		o.rec.line("answer %s from %s status %d complete %v after %v, %d of %d bytes", q.id, r.name, a.status, a.complete, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), len(a.body), len(sound))
		o.count(r, q, a, sound)
	}
}

func (o *outcomes) count(r *router, q *request, a reply, sound string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case a.status != 200:
		o.refused++
		return
	case a.complete && a.body == sound:
		o.whole++
		return
	}
	o.cut++
	for _, at := range o.hangups[r.name] {
		if a.sentAt.After(at) && a.sentAt.Before(at.Add(configApply)) {
			o.lost++
			o.rec.line("lost %s: sent %v after SIGHUP of %s, passed on to a sound engine, cut after %d of %d bytes and %v", q.id,
				a.sentAt.Sub(at).Round(time.Millisecond), r.name, len(a.body), len(sound), a.endedAt.Sub(a.sentAt).Round(time.Millisecond))
			return
		}
	}
}

// hangUp waits until the routers have seen some streams. Then it changes the settings file of each router in turn, six times, and sends
// SIGHUP, or only lets the time pass.
func (o *outcomes) hangUp(f *fleet, trouble bool) {
	time.Sleep(12 * time.Second)
	for round := range 6 {
		for _, r := range f.routers {
			if trouble {
				r.changeSettings(round)
				o.mu.Lock()
				o.hangups[r.name] = append(o.hangups[r.name], time.Now())
				o.mu.Unlock()
				o.rec.line("SIGHUP to %s", r.name)
				r.signal(syscall.SIGHUP)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// judge reports whether the rule is broken.
func (o *outcomes) judge() bool {
	o.rec.say("%d streams whole, %d cut, %d refused; %d lost around SIGHUP (none is allowed)", o.whole, o.cut, o.refused, o.lost)
	return o.lost > 0
}
