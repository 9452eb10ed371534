package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string][]run
}

// run is what an engine did with a request, and when.
type run struct {
	engine, what string
	at           time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), runs: map[string][]run{}}, nil
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) run(id, engine, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.runs[id] = append(r.runs[id], run{engine, what, now})
	fmt.Fprintf(r.file, "%8.3f  request %s at %s: %s\n", now.Sub(r.began).Seconds(), id, engine, what)
}

// ended returns the engine that has answered a request in full; "" if none has.
func (r *recorder) ended(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs[id] {
		if one.what == "whole" {
			return one.engine
		}
	}
	return ""
}

// reached reports whether any engine has begun to run a request.
func (r *recorder) reached(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs[id] {
		if one.what == "began" {
			return true
		}
	}
	return false
}
