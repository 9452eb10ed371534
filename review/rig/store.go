package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the platform's store, or a deletion of it in the answer to a watch.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store: key, range and watch calls, with a delay of storeDelay
// per answer.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// down makes every call fail with status 503.
	down    bool
	server  *http.Server
	address string
}

const (
	storeDelay = 4 * time.Millisecond
	pageItems  = 500
)

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, changed: make(chan struct{})}
}

// start opens the store at a free port of an address.
func (s *store) start(ip string) error {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return nil
}

func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(item{Key: key, Value: text})
}

func (s *store) remove(key string) { s.write(item{Key: key, Tombstone: true}) }

func (s *store) write(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	s.history = append(s.history, it)
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "0")
	time.Sleep(storeDelay)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answerJSON(w, it)
	case "/api/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
		if err != nil || waitErr != nil {
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
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	answerJSON(w, map[string]any{"items": found, "has_more": more, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		revision, changed, down := s.revision, s.changed, s.down
		found := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				found = append(found, it)
			}
		}
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		over := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(found) > 0 || over {
			answerJSON(w, map[string]any{"events": found, "store_revision": revision})
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		fmt.Println("store:", err)
	}
}
