package router

import (
	stdlog "log"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/broker"
)

// adminHandler serves operators, the readiness checks of the platform's load
// balancer, and the scrapes of metrics.
func (r *Router) adminHandler() http.Handler {
	router := bunrouter.New()
	router.GET("/livez", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return writeText(w, http.StatusOK, "alive\n")
	})
	router.GET("/readyz", r.readyz)
	router.GET("/status", r.status)
	metrics := promhttp.HandlerFor(r.metrics.Registry(), promhttp.HandlerOpts{})
	router.GET("/metrics", bunrouter.HTTPHandler(metrics))
	return router
}

func writeText(w http.ResponseWriter, status int, text string) error {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, err := w.Write([]byte(text))
	return err
}

// ready reports whether load balancers should send callers to this router: it is
// ready to serve and no planned stop has begun.
func (r *Router) ready() bool {
	select {
	case <-r.stopping:
		return false
	default:
		return r.control.Ready()
	}
}

func (r *Router) readyz(w http.ResponseWriter, _ bunrouter.Request) error {
	if !r.ready() {
		return writeText(w, http.StatusServiceUnavailable, "not ready\n")
	}
	return writeText(w, http.StatusOK, "ready\n")
}

func (r *Router) status(w http.ResponseWriter, _ bunrouter.Request) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Marshal(r.Status())
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(data)
	return err
}

// Status returns the state and the counts of the router, for operators.
func (r *Router) Status() *v1.RouterStatus {
	status := &v1.RouterStatus{
		Router:       r.settings.Name,
		Incarnation:  r.settings.Incarnation,
		Zone:         r.settings.Zone,
		Version:      r.version,
		Ready:        r.ready(),
		UptimeMs:     uint64(time.Since(r.started).Milliseconds()),
		Pools:        r.schedulers.Status(),
		OpenRequests: uint64(r.entry.OpenRequests()),
		BodyBytes:    uint64(r.entry.BodyBytes()),
	}
	select {
	case <-r.stopping:
		status.Stopping = true
	default:
	}
	r.control.FillStatus(status)
	r.metrics.FillStatus(status, r.store.Config())
	r.fillQueuedCounts(status)
	return status
}

// fillQueuedCounts sets the number of demands that wait for a slot at this router,
// for each workspace and pool in the status.
func (r *Router) fillQueuedCounts(status *v1.RouterStatus) {
	waiting := r.broker.WaitingDemands()
	for _, usage := range status.Workspaces {
		key := broker.QueueKey{Pool: usage.Pool, Workspace: config.IDOf(usage.Workspace)}
		usage.Queued = uint32(waiting[key])
	}
}

func (r *Router) registerGauges() {
	r.metrics.RegisterGauge("open_requests", "Requests of callers in progress.", func() float64 {
		return float64(r.entry.OpenRequests())
	})
	r.metrics.RegisterGauge("body_bytes", "Bytes of request bodies in memory.", func() float64 {
		return float64(r.entry.BodyBytes())
	})
	r.metrics.RegisterGauge("reachable_routers", "Routers that may take roles.", func() float64 {
		return float64(len(r.store.Fleet().Reachable))
	})
	r.metrics.RegisterGauge("remembered_keys", "Request keys in the ledger.", func() float64 {
		count, _ := r.keys.LedgerSize()
		return float64(count)
	})
}

// stdLogger returns a logger for an HTTP server that writes to the router's logger
// at debug level. duty is the value of the log key "duty".
func stdLogger(logger log.Logger, duty string) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Debug(log.With(logger, "duty", duty))), "", 0)
}
