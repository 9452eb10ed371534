package e2e

import (
	"net/http"
	"sync"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/service"
)

// runLog records when each operation first reached a service. It is safe for
// concurrent use.
type runLog struct {
	mu sync.Mutex
	// firstArrivals is keyed by the name of the operation. mu guards it.
	firstArrivals map[string]time.Time
}

func newRunLog() *runLog { return &runLog{firstArrivals: map[string]time.Time{}} }

// wrap returns a handler that records the operations and passes requests to next.
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

// firstArrival returns when the operation first reached a service, or false if it
// has not.
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
