package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the platform's store, or a change of it.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

// historyTime is history_s of the small deployments.
const historyTime = 20 * time.Second

// pageItems is the number of items on a page.
const pageItems = 500

// store is a stand-in of the platform's metadata store.
type store struct {
	mu        sync.Mutex
	items     map[string]storeItem
	history   []storeItem
	revision  uint64
	compacted uint64
	changed   chan struct{}
	address   string
	// era is the number of times that the store has come back from a copy. While it is away it answers 503.
	era  int
	away bool
}

func startStore() (*store, error) {
	s := &store{items: map[string]storeItem{}, revision: 7, compacted: 7, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go http.Serve(l, s)
	return s, nil
}

// write writes a key, or deletes it if value is nil. It returns the time of the confirmation.
func (s *store) write(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.items[key]
	if value == nil && !known {
		return time.Now()
	}
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Tombstone: value == nil, at: time.Now()}
	if known {
		it.Created = old.Created
	}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) writeJSON(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(key, text)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	away := s.away
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		revision := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": 0, "store_revision": revision})
	case "/api/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
		if err != nil || waitErr != nil || wait > 30000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	found := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	found = found[:min(len(found), pageItems)]
	json.NewEncoder(w).Encode(map[string]any{"items": found, "has_more": more, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		lost, away := after < s.compacted || after > s.revision, s.away
		found := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				found = append(found, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
			json.NewEncoder(w).Encode(map[string]any{"events": found, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			json.NewEncoder(w).Encode(map[string]any{"events": found, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// copyOf returns a copy of the content.
func (s *store) copyOf() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &store{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision, compacted: s.compacted}
}

// leave makes the store answer 503 until restore.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back with the content of a copy, in a new era.
func (s *store) restore(c *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history, s.revision, s.compacted, s.away = c.items, c.history, c.revision, c.compacted, false
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}
