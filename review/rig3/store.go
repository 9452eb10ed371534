package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store: linearizable reads in pages, and watches.
type store struct {
	address string
	mu      sync.Mutex
	items   map[string]storeItem
	events  []storeItem
	// revision is that of the latest change, lost that of the latest change whose event was discarded.
	revision, lost uint64
	changed        chan struct{}
	served         *http.Server
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

const (
	// pageItems and pageBytes bound a page of a range read.
	pageItems = 500
	pageBytes = 1 << 20
	// historyTime is how long the store keeps an event (history_s).
	historyTime = 20 * time.Second
	// storeLatency is the time of an answer.
	storeLatency = 4 * time.Millisecond
)

func newStore(address string) (*store, error) {
	s := &store{address: address, items: map[string]storeItem{}, revision: 100, lost: 100, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("GET /api/kv-key", s.key)
	s.served = &http.Server{Handler: mux}
	go s.served.Serve(l)
	return s, nil
}

// put writes a key, and returns the time of the confirmation.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return it.at
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Tombstone: true, at: time.Now()})
}

// record adds an event and wakes the watches. The caller holds mu.
func (s *store) record(it storeItem) {
	s.events = append(s.events, it)
	for len(s.events) > 0 && time.Since(s.events[0].at) > historyTime {
		s.lost = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	time.Sleep(storeLatency)
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write(text)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, more := []storeItem{}, 0, false
	for _, key := range keys {
		it := s.items[key]
		if size += len(it.Value); len(page) > 0 && (len(page) == pageItems || size > pageBytes) {
			more = true
			break
		}
		page = append(page, it)
	}
	revision := s.revision
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"items": page, "has_more": more, "store_revision": revision})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		s.answer(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": 0, "store_revision": revision,
	})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.lost {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		events := []storeItem{}
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
