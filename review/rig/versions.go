package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["versions"] = versions }

const (
	streamEvents = 60
	streamPause  = 150 * time.Millisecond
	consumers    = 48
	// maxTries is the number of attempts of a consumer, the first included.
	maxTries  = 4
	timeLimit = 15 * time.Second
)

// stream is what one consumer has received.
type stream struct {
	number   int
	versions map[string]int
	events   int
	lastID   string
	firstTry string
	whole    bool
	cut      bool
}

// versions plays a release of the engines. With the disruption, a machine is added while engines of the old
// version, whose entries are gone, still serve their streams.
func versions(e *env) (int, error) {
	st := newStore()
	if err := st.start("127.0.0.1"); err != nil {
		return unable, err
	}
	defer st.server.Close()
	st.put("op/config", configuration(7))
	engines := func(version string) ([]*engine, error) {
		var list []*engine
		for i := range 3 {
			x := &engine{
				id: fmt.Sprintf("i-%s-%d", version, i+1), service: "assist-llm", version: version, zone: zoneNames[i], slots: 64,
				events: streamEvents, eventPause: streamPause, store: st, record: e.record,
			}
			if err := x.start("127.0.0.1"); err != nil {
				return nil, err
			}
			list = append(list, x)
		}
		return list, nil
	}
	old, err := engines("v1")
	if err != nil {
		return unable, err
	}
	f, err := newFleet(e.dir, e.root, st.address, e.record, 7)
	if err != nil {
		return unable, err
	}
	defer f.close()
	for _, m := range f.machines[:6] {
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

	e.record.log("%d consumers begin streams of %d events, %v apart", consumers, streamEvents, streamPause)
	streams := make([]*stream, consumers)
	var wg sync.WaitGroup
	for i := range streams {
		streams[i] = &stream{number: i, versions: map[string]int{}}
		wg.Go(func() { streams[i].consume(e, f) })
	}
	time.Sleep(time.Second)
	renewed, err := engines("v2")
	if err != nil {
		return unable, err
	}
	time.Sleep(500 * time.Millisecond)
	for _, x := range old {
		x.leave()
	}
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		e.record.log("machine %s is added", f.machines[6].name)
		if err := f.machines[6].start(); err != nil {
			return unable, err
		}
	}
	time.Sleep(drainTime + 3500*time.Millisecond)
	for _, x := range old {
		x.exit()
	}
	wg.Wait()
	for _, x := range renewed {
		x.exit()
	}
	mixed, cut, whole := 0, 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
			e.record.log("stream %d holds events of several versions: %v", s.number, s.versions)
		}
		if s.cut {
			cut++
		}
		if s.whole {
			whole++
		}
	}
	if cut < 12 {
		return unable, fmt.Errorf("only %d streams were cut", cut)
	}
	return e.verdict(mixed > 2, "%d of %d streams that consumers took up again hold events of two software versions (more than 2 break ORDER); %d ended whole", mixed, cut, whole)
}

// consume gets a stream; after a broken channel or a refusal it goes on at another machine.
func (s *stream) consume(e *env, f *fleet) {
	end := time.Now().Add(timeLimit)
	var last *machine
	for try := 1; try <= maxTries && time.Until(end) > 0; try++ {
		m := pickMachine(f, s.number, try, last)
		if m == nil {
			return
		}
		last = m
		if s.attempt(e, m, try, time.Until(end)) {
			return
		}
	}
}

// pickMachine selects a machine by a hash of the consumer and the try, another one than before.
func pickMachine(f *fleet, consumer, try int, last *machine) *machine {
	list := f.inRotation()
	for i := range list {
		m := list[(consumer*31+try*17+consumer/7*try+i)%len(list)]
		if m != last {
			return m
		}
	}
	return nil
}

// attempt sends one consumer attempt. It returns whether the stream has ended or must not be tried again.
func (s *stream) attempt(e *env, m *machine, try int, left time.Duration) bool {
	id := fmt.Sprintf("c%02dt%d", s.number, try)
	conn, br, err := dial(m)
	if err != nil {
		e.record.log("consumer %d: %s to %s: no channel", s.number, id, m.name)
		return false
	}
	defer conn.Close()
	e.record.log("consumer %d: %s to %s, last event %q, resumes %q", s.number, id, m.name, s.lastID, s.firstTry)
	resp, err := send(conn, br, call{
		id: id, method: "POST", path: "/chat/2f", host: host, key: consumerK, deadline: left, prompt: fmt.Sprintf("5c1e07a2:210,91bd3f06:250,e4402b%02x:100", s.number),
		lastEventID: s.lastID, resumes: s.firstTry, body: fmt.Sprintf("prompt of consumer %d", s.number),
	})
	if err != nil {
		e.record.log("consumer %d: %s ends without an answer: %v", s.number, id, err)
		return false
	}
	if resp.StatusCode != http.StatusOK {
		pause := retryAfter(resp, left)
		e.record.log("consumer %d: %s gets %d, comes back in %v", s.number, id, resp.StatusCode, pause)
		time.Sleep(pause)
		return resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode < 500
	}
	return s.read(e, id, resp)
}

// read reads the events of an answer. It returns whether the stream is complete.
func (s *stream) read(e *env, id string, resp *http.Response) bool {
	body := newEventReader(resp.Body)
	before := s.events
	for {
		ev, err := readEvent(body)
		if err != nil {
			s.whole = s.lastID == fmt.Sprint(streamEvents)
			e.record.log("consumer %d: %s brought %d events up to %q, then %v; versions %v", s.number, id, s.events-before, s.lastID, err, s.versions)
			s.cut = s.cut || !s.whole
			return s.whole
		}
		if s.firstTry == "" {
			s.firstTry = id
		}
		s.events++
		s.lastID = ev.id
		var from, version string
		fmt.Sscanf(ev.data, "engine %s version %s", &from, &version)
		s.versions[version]++
	}
}
