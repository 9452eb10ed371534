package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["forgotten"] = playForgotten
	cases["expired"] = playExpired
	cases["hotpart"] = playHotPart
}

const (
	// crashingPart is the part of a prompt that crashes engines, and crashingPath the path of a request that does.
	crashingPart = "deadbeef"
	crashingPath = "/preflight/7f"
	// downTime is how long an engine is away after a crash.
	downTime = 2500 * time.Millisecond
	// soundRate is the number of sound requests a second.
	soundRate = 60
	// allowedLate is the number of crashing requests that may reach engines late.
	allowedLate = 3
	// touchMargin is added to contact, so that a router at its bound does not count.
	touchMargin = 200 * time.Millisecond
)

// crashPlay has requests of a route for resumable streams crash the engines that begin to answer them.
type crashPlay struct {
	rec *recorder
	// isCrashing tells these requests, and crashesKnown is the number of crashes from which the rule counts.
	isCrashing   func(*http.Request) bool
	crashesKnown int
	// firstEvent is the time to the first event of each stream, and crashAfter that from there to a crash; nil for a crash at once.
	firstEvent, crashAfter func() time.Duration
	fleet                  *fleet
	stop                   chan struct{}
	done                   sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
	// reached is the number of crashing requests that reached engines, and late that of those that count.
	reached, late int
	// sound is the number of sound requests that were sent over twice contact after the last of crashesKnown crashes, and begun that
	// of those whose answer began.
	sound, begun int
	// sentTo holds the router to which a consumer sent a request, by the request's ID.
	sentTo map[string]*router
	// answers counts the answers by kind of request, status and whether they were complete.
	answers map[string]int
}

// start starts the store, the engines, the routers and the sound requests.
func (p *crashPlay) start() error {
	p.stop, p.sentTo, p.answers = make(chan struct{}), map[string]*router{}, map[string]int{}
	s, err := startStore()
	if err != nil {
		return err
	}
	s.writeJSON("op/config", modelConfig(map[string]any{
		"name": "preflight", "hostname": "shop.example", "prefix": "/preflight/", "service": "assist-llm", "kind": "streaming", "resumable": true,
		"sticky": true, "timeout_ms": 12000, "target_latency_ms": 800, "target_gap_ms": 400, "max_attempts": 2, "priority": 1,
	}))
	for i := range 9 {
		e := &engine{store: s, id: fmt.Sprintf("i-%d", i+1), service: "assist-llm", zone: zones[i%4], slots: 64, model: true, handler: p.serve}
		if err := e.start("v1", 0); err != nil {
			return err
		}
	}
	if p.fleet, err = startFleet(s.address, 6); err != nil {
		return err
	}
	p.arrivals("sound", func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(time.Second) / soundRate) }, func() (string, string, string) {
		return "/preflight/" + newRequestID(), newRequestID(), prompt(fmt.Sprintf("77aa%02x", rand.IntN(16)))
	})
	return nil
}

// prompt returns the parts of a prompt with a part of the subject. No two prompts are alike.
func prompt(subject string) string {
	return fmt.Sprintf("5c1e07a0:200,%s:100,91bd3f%02x:100,%08x:50", subject, rand.IntN(40), rand.Uint32())
}

// arrivals sends requests to routers in rotation until the play ends.
func (p *crashPlay) arrivals(kind string, interval func() time.Duration, request func() (path, body, prompt string)) {
	p.done.Go(func() {
		for next := time.Now().Add(interval()); ; next = next.Add(interval()) {
			select {
			case <-p.stop:
				return
			case <-time.After(time.Until(next)):
				p.done.Go(func() { p.ask(kind, request) })
			}
		}
	})
}

// ask sends a request. Consumers try once.
func (p *crashPlay) ask(kind string, content func() (path, body, prompt string)) {
	list := p.fleet.rotation()
	r := list[rand.IntN(len(list))]
	path, body, prompt := content()
	q := &request{method: "POST", host: "shop.example", path: path, id: newRequestID(), key: "key-1", body: body, deadline: 12 * time.Second}
	q.header = []string{"X-Chiveseam-Model: m", "X-Chiveseam-Token-Usage: 450,30", "X-Chiveseam-Prompt-Prefix: " + prompt}
	p.mu.Lock()
	p.sentTo[q.id] = r
	p.mu.Unlock()
	p.rec.line("send %s to %s, %s", q.id, r.name, kind)
	a := send(r.listen(), q, nil)
	p.rec.line("answer %s status %d complete %v", q.id, a.status, a.complete)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[fmt.Sprintf("%s %d %v", kind, a.status, a.complete)]++
	if kind == "sound" && len(p.crashes) >= p.crashesKnown && a.sentAt.Sub(p.crashes[p.crashesKnown-1]) > 2*contact {
		p.sound++
		if a.status == http.StatusOK {
			p.begun++
		}
	}
}

// serve writes a stream of 40 events. A crashing request crashes the engine at one of them.
func (p *crashPlay) serve(b *boot, w http.ResponseWriter, r *http.Request) {
	crashes := p.isCrashing(r)
	if crashes {
		p.arrived(b, r.Header.Get(idHeader))
	}
	w.Header().Set(signatureHeader, b.signature())
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	pause := p.firstEvent()
	crashAt := time.Now().Add(pause)
	if p.crashAfter != nil {
		crashAt = crashAt.Add(p.crashAfter())
	}
	for n := last + 1; n <= 40; n++ {
		select {
		case <-b.ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(pause):
		}
		pause = 30 * time.Millisecond
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", n)
		if http.NewResponseController(w).Flush() != nil {
			panic(http.ErrAbortHandler)
		}
		if crashes && !time.Now().Before(crashAt) {
			p.crash(b)
			panic(http.ErrAbortHandler)
		}
	}
}

// arrived counts a crashing request that has reached an engine. It is late if enough crashes are over contact ago and the router that
// sent it has run for that long.
func (p *crashPlay) arrived(b *boot, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.sentTo[id]
	r.mu.Lock()
	up := time.Since(r.startedAt)
	r.mu.Unlock()
	late := len(p.crashes) >= p.crashesKnown && time.Since(p.crashes[p.crashesKnown-1]) > contact && up > contact+touchMargin
	p.reached++
	if late {
		p.late++
	}
	p.rec.say("at second %.1f, crashing request %s reaches %s from %s, up for %.1f s, after %d crashes; late: %v", time.Since(p.rec.began).Seconds(), id, b.id, r.name, up.Seconds(), len(p.crashes), late)
}

func (p *crashPlay) crash(b *boot) {
	if !b.crash() {
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	time.AfterFunc(downTime, func() { b.start(b.version, 0) })
}

// end ends the requests and returns whether the rule was broken.
func (p *crashPlay) end() bool {
	close(p.stop)
	p.done.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.say("%d crashes; %d crashing requests reached engines, %d of them late (%d are allowed); answers %v", len(p.crashes), p.reached, p.late, allowedLate, p.answers)
	p.rec.say("of %d sound requests sent later than %v after crash %d, %d began", p.sound, 2*contact, p.crashesKnown, p.begun)
	return p.late > allowedLate
}

// playForgotten has a part of prompts crash engines until it is refused, and then kills all router processes at once.
func playForgotten(rec *recorder, trouble bool) (bool, error) {
	// The routers are killed killAfter a request with the part. One comes each interval.
	const interval, killAfter = 5 * time.Second, time.Second
	p := &crashPlay{rec: rec, crashesKnown: 5, firstEvent: func() time.Duration { return 130 * time.Millisecond }}
	p.isCrashing = func(r *http.Request) bool {
		return strings.Contains(r.Header.Get("X-Chiveseam-Prompt-Prefix"), crashingPart)
	}
	err := p.start()
	defer p.fleet.stop()
	if err != nil {
		return false, err
	}
	time.Sleep(11 * time.Second)
	p.arrivals("with the part", func() time.Duration { return interval }, func() (string, string, string) {
		return "/preflight/" + newRequestID(), newRequestID(), prompt(crashingPart)
	})
	time.Sleep(5*interval + killAfter)
	if trouble {
		rec.say("at second %.1f, all router processes are killed", time.Since(rec.began).Seconds())
		var restarts sync.WaitGroup
		for _, r := range p.fleet.routers {
			restarts.Go(func() { r.restart(syscall.SIGKILL) })
		}
		restarts.Wait()
	}
	time.Sleep(5*interval + interval/2)
	return p.end(), nil
}

// playExpired has a request that comes again and again crash engines, for longer than the routers remember it.
func playExpired(rec *recorder, trouble bool) (bool, error) {
	// crashingRate is the number of crashing requests a second.
	const crashingRate = 9
	p := &crashPlay{rec: rec, crashesKnown: 3, firstEvent: func() time.Duration { return 550*time.Millisecond + rand.N(200*time.Millisecond) }}
	p.isCrashing = func(r *http.Request) bool { return trouble && r.URL.Path == crashingPath }
	err := p.start()
	defer p.fleet.stop()
	if err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	p.arrivals("crashing", func() time.Duration { return time.Second / crashingRate }, func() (string, string, string) {
		return crashingPath, "proof of banner 7f", "5c1e07a0:200,77aa07:100,91bd3f07:100,0badc0de:50"
	})
	time.Sleep(75 * time.Second)
	return p.end(), nil
}

// playHotPart has a part of many prompts, which engines answer at first, crash them from some time on.
func playHotPart(rec *recorder, trouble bool) (bool, error) {
	// partRate is the number of requests with the part a second.
	const partRate = 23
	p := &crashPlay{rec: rec, crashesKnown: 5, firstEvent: func() time.Duration { return 130 * time.Millisecond }}
	p.crashAfter = func() time.Duration { return 150*time.Millisecond + rand.N(300*time.Millisecond) }
	var bad atomic.Bool
	p.isCrashing = func(r *http.Request) bool {
		return bad.Load() && strings.Contains(r.Header.Get("X-Chiveseam-Prompt-Prefix"), crashingPart)
	}
	err := p.start()
	defer p.fleet.stop()
	if err != nil {
		return false, err
	}
	p.arrivals("with the part", func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(time.Second) / partRate) }, func() (string, string, string) {
		return "/preflight/" + newRequestID(), newRequestID(), prompt(crashingPart)
	})
	time.Sleep(15 * time.Second)
	bad.Store(trouble)
	rec.say("at second %.1f, the part begins to crash engines: %v", time.Since(rec.began).Seconds(), trouble)
	time.Sleep(40 * time.Second)
	return p.end(), nil
}
