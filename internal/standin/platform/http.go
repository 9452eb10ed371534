package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/internal/standin/serve"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// maxWait bounds the wait_ms of a watch.
	maxWait = 5 * time.Minute
	// retryAfterSeconds is the Retry-After, in seconds, of calls refused by the rate
	// limit or an outage.
	retryAfterSeconds = "1"
	// maxBodyBytes bounds the body of a control call. The rest of a longer one is
	// ignored.
	maxBodyBytes = 8 << 20
)

// watchRequest asks for a value with a revision above after, and for an answer within
// wait.
type watchRequest struct {
	after uint64
	wait  time.Duration
}

// Handler returns the HTTP interface of the platform: reads under /v1/, control calls
// under /control/.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.GET("/v1/configuration", serve.Handler(s.getConfiguration))
	router.GET("/v1/instances", serve.Handler(s.getInstances))
	router.POST("/control/configuration", serve.Handler(s.postConfiguration))
	router.POST("/control/instances", serve.Handler(s.postInstances))
	router.POST("/control/faults", serve.Handler(s.postFaults))
	router.GET("/control/stats", serve.Handler(s.getStats))
	return router
}

func (s *Server) getConfiguration(w http.ResponseWriter, r *http.Request) {
	s.serveWatch(w, r, &s.stats.Configuration, s.readConfigurationLocked)
}

func (s *Server) getInstances(w http.ResponseWriter, r *http.Request) {
	s.serveWatch(w, r, &s.stats.Instances, s.readInstancesLocked)
}

// serveWatch answers a read with a protobuf message, or with 304 if there is nothing
// newer within the wait. counter is the field of s.stats that counts reads of this kind,
// and reader returns the function that reads the value.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, counter *uint64, reader func(after uint64) readFunc) {
	if status := s.admit(counter); status != 0 {
		w.Header().Set("Retry-After", retryAfterSeconds)
		w.WriteHeader(status)
		return
	}
	query, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value := s.awaitValue(r.Context(), query.wait, reader(query.after))
	if value == nil {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	body, err := proto.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(body)
}

// parseWatch decodes the query parameters after and wait_ms. It shortens a longer wait
// to maxWait.
func parseWatch(r *http.Request) (watchRequest, error) {
	after, err := parseUint(r, "after")
	if err != nil {
		return watchRequest{}, err
	}
	waitMs, err := parseUint(r, "wait_ms")
	if err != nil {
		return watchRequest{}, err
	}
	wait := maxWait
	if waitMs < uint64(maxWait.Milliseconds()) {
		wait = time.Duration(waitMs) * time.Millisecond
	}
	return watchRequest{after: after, wait: wait}, nil
}

// parseUint returns the named query parameter, or 0 if it is missing.
func parseUint(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parameter %s: %w", name, err)
	}
	return value, nil
}

func (s *Server) postConfiguration(w http.ResponseWriter, r *http.Request) {
	revision, err := parseUint(r, "revision")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	payload, err := readBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answerRevision(w, s.PublishConfiguration(revision, payload))
}

func (s *Server) postInstances(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	list := &v1.InstanceList{}
	if err := protojson.Unmarshal(body, list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answerRevision(w, s.PublishInstances(list))
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}

func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
}

func answerRevision(w http.ResponseWriter, revision uint64) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"revision\":%d}\n", revision)
}
