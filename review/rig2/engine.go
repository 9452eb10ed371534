package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is heartbeat_ms of the small deployments.
const heartbeat = 1200 * time.Millisecond

const (
	idHeader        = "X-Chiveseam-Request-Id"
	signatureHeader = "X-Chiveseam-Server-Signature"
	targetHeader    = "X-Chiveseam-Target-Instance"
	instanceHeader  = "X-Chiveseam-Instance-Id"
	notRunHeader    = "X-Chiveseam-Not-Executed"
)

// engine is a stand-in of an engine of the platform. The handler serves the requests that are meant for it.
type engine struct {
	store   *store
	id      string
	service string
	zone    string
	slots   int
	// model is set if the engine serves a model, and so answers /api/report.
	model   bool
	handler func(e *boot, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	address string
	current *boot
}

// boot is one start of an engine.
type boot struct {
	*engine
	version string
	born    int64
	server  *http.Server
	ended   chan struct{}
}

// start starts the engine at its address, or at a free one, and registers it after a time and then each heartbeat.
func (e *engine) start(version string, register time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	b := &boot{engine: e, version: version, born: time.Now().UnixMilli(), ended: make(chan struct{})}
	b.server = &http.Server{Handler: b}
	e.current = b
	go b.server.Serve(l)
	go b.checkIn(register)
	return nil
}

// registration is what the engine writes to the store.
func (b *boot) registration(sequence int) map[string]any {
	return map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": b.version, "slots": b.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": b.born,
	}
}

// checkIn writes the registration. The entry of the store changes only when more than the sequence does.
func (b *boot) checkIn(after time.Duration) {
	select {
	case <-b.ended:
	case <-time.After(after):
		b.store.writeJSON("servers/"+b.id, b.registration(1))
	}
}

// crash ends the process: its listener and all connections are closed. Its entry is removed after three check-in intervals, unless the
// engine has started again by then.
// It returns false if the engine does not run.
func (e *engine) crash() bool {
	e.mu.Lock()
	b := e.current
	e.current = nil
	e.mu.Unlock()
	if b == nil {
		return false
	}
	close(b.ended)
	b.server.Close()
	time.AfterFunc(3*heartbeat, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.current == nil {
			e.store.write("servers/"+e.id, nil)
		}
	})
	return true
}

func (b *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(idHeader); id != "" {
		w.Header().Set(idHeader, id)
	}
	switch {
	case r.URL.Path == "/api/report" && b.model:
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"queued":0,"active":0,"kv_used":0,"kv_total":600000,"handles":0,"born":%d}`, b.born)
	case r.URL.Path == "/api/kv-list" && b.model:
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"epoch":%d,"next":1,"held":[],"born":%d}`, b.born, b.born)
	case r.URL.Path == "/health":
		w.Header().Set(instanceHeader, b.id)
	case r.Header.Get(targetHeader) != "" && r.Header.Get(targetHeader) != b.id:
		w.Header().Set(instanceHeader, b.id)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		b.handler(b, w, r)
	}
}

func (b *boot) signature() string { return b.id + "." + fmt.Sprint(b.born) }

// modelConfig is a configuration with one service of model engines.
func modelConfig(route map[string]any) map[string]any {
	return map[string]any{
		"version": 3, "routes": []any{route},
		"services": []any{map[string]any{"name": "assist-llm", "health_path": "/health", "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 671459, "kv_token_bytes": 18432, "link_mbps": 88000}}},
		"tenants":  []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 5000000},
	}
}
