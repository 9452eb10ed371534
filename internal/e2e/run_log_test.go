package e2e

import (
	"net/http"
	"sync"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/service"
)

// runLog holds when each operation reached a service for the first time. It is
// safe for concurrent use.
type runLog struct {
	mu            sync.Mutex
	firstArrivals map[string]time.Time
}

func newRunLog() *runLog { return &runLog{firstArrivals: map[string]time.Time{}} }

// wrap records the calls that reach next.
func (l *runLog) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if operation := r.Header.Get(service.RequestHeader); operation != "" {
			l.record(operation)
		}
		next.ServeHTTP(w, r)
	})
}

func (l *runLog) record(operation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.firstArrivals[operation]; !ok {
		l.firstArrivals[operation] = time.Now()
	}
}

// firstArrival returns when the operation reached a service.
func (l *runLog) firstArrival(operation string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.firstArrivals[operation]
	return at, ok
}

// count returns the number of operations that reached a service.
func (l *runLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.firstArrivals)
}
