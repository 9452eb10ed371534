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

// arrival is the arrival of a request at a target of a data centre.
type arrival struct {
	dataCentre string
	at         time.Time
}

// arrivalLog records when and in which data centre operations reached targets. It
// is safe for concurrent use.
type arrivalLog struct {
	mu sync.Mutex
	// arrivals is keyed by the name of the operation. mu guards it.
	arrivals map[string][]arrival
}

// logArrivals restarts the targets of the cluster with handlers that record all
// further requests in the returned log.
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

// wrap returns a handler that records the operations that reach a target of the
// data centre and passes requests to next.
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

// operationOf returns the name of the operation of a request: from the header of a
// request to a service, or the first word of the prompt of a request to an engine.
// It returns "" if there is none. The body of the request stays readable.
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

// arrivalsOf returns a copy of the operation's arrivals in order of time.
func (l *arrivalLog) arrivalsOf(operation string) []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival{}, l.arrivals[operation]...)
}
