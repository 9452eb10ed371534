package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["head"] = headRequests }

// headRequests plays consumers that send HEAD requests on kept channels. With the disruption, their key is
// taken away.
func headRequests(e *env) (int, error) {
	st := newStore()
	if err := st.start("127.0.0.1"); err != nil {
		return unable, err
	}
	defer st.server.Close()
	st.put("op/config", configuration(7))
	for i := range 4 {
		x := &engine{id: fmt.Sprintf("i-desk-%d", i+1), service: "order-desk", version: "v1", zone: zoneNames[i], slots: 6,
			work: 30 * time.Millisecond, store: st, record: e.record}
		if err := x.start("127.0.0.1"); err != nil {
			return unable, err
		}
		defer x.server.Close()
	}
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
	var answers, spoiled atomic.Int64
	end := time.Now().Add(8 * time.Second)
	for i, m := range f.machines {
		wg.Go(func() { headConsumer(e, m, i, end, &answers, &spoiled) })
	}
	time.Sleep(3 * time.Second)
	if e.trouble {
		e.record.log("the operator writes version 8: the key is taken away")
		st.put("op/config", configurationWith(8))
	}
	wg.Wait()
	return e.verdict(spoiled.Load() > 0, "after %d of %d answers to HEAD requests, which have no body, bytes came that are no answer (one breaks MIXED)", spoiled.Load(), answers.Load())
}

// headConsumer sends HEAD requests on a kept channel, one after the other, and looks for bytes after each
// answer, while it waits for none.
func headConsumer(e *env, m *machine, number int, end time.Time, answers, spoiled *atomic.Int64) {
	var conn net.Conn
	var br *bufio.Reader
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(50 * time.Millisecond)
		if conn == nil {
			var err error
			if conn, br, err = dial(m); err != nil {
				e.record.log("consumer %d: no channel: %v", number, err)
				return
			}
		}
		id := fmt.Sprintf("h%d-%03d", number, n)
		resp, err := send(conn, br, call{id: id, method: http.MethodHead, path: "/status/2f", host: host, key: revokedK, deadline: 1500 * time.Millisecond})
		if err != nil {
			e.record.log("%s: no answer that can be read: %v", id, err)
			conn.Close()
			conn = nil
			continue
		}
		answers.Add(1)
		e.record.log("%s: %d", id, resp.StatusCode)
		conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if extra, err := br.Peek(1); len(extra) > 0 {
			rest := make([]byte, br.Buffered())
			io.ReadFull(br, rest)
			spoiled.Add(1)
			e.record.log("%s: %d bytes without a request: %q", id, len(rest), rest)
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			conn.Close()
			conn = nil
			continue
		}
		if resp.Close {
			conn.Close()
			conn = nil
		}
	}
}
