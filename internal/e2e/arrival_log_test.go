package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/service"
)

// arrival is a request that reached a target.
type arrival struct {
	dataCentre string
	at         time.Time
}

// arrivalLog holds which data centre each operation reached. It is safe for
// concurrent use.
type arrivalLog struct {
	mu       sync.Mutex
	arrivals map[string][]arrival
}

// logArrivals records what reaches the targets of the cluster from now on.
func logArrivals(t *testing.T, c *cluster) *arrivalLog {
	t.Helper()
	l := &arrivalLog{arrivals: map[string][]arrival{}}
	dataCentreOfZone := map[string]string{}
	for _, z := range c.configuration.Zones {
		dataCentreOfZone[z.Name] = z.DataCentre
	}
	for _, g := range append(append([]*target{}, c.engines...), c.services...) {
		g.stop()
		g.handler = l.wrap(dataCentreOfZone[g.spec.Zone], g.handler)
		g.start(t)
	}
	return l
}

func (l *arrivalLog) wrap(dataCentre string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if operation := operationOf(r); operation != "" {
			l.mu.Lock()
			l.arrivals[operation] = append(l.arrivals[operation], arrival{dataCentre, time.Now()})
			l.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// operationOf returns the name of the operation that a call of a service, or
// the prompt of an engine, carries.
func operationOf(r *http.Request) string {
	if operation := r.Header.Get(service.RequestHeader); operation != "" {
		return operation
	}
	if r.Method != http.MethodPost {
		return ""
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	var request struct{ Prompt string }
	if err != nil || json.Unmarshal(body, &request) != nil {
		return ""
	}
	operation, _, _ := strings.Cut(request.Prompt, " ")
	return operation
}

func (l *arrivalLog) arrivalsOf(operation string) []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival{}, l.arrivals[operation]...)
}
