package edge

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"
)

// routerMetrics holds the Prometheus metrics of a router.
type routerMetrics struct {
	registry            *prometheus.Registry
	attempts            *prometheus.CounterVec
	results             *prometheus.CounterVec
	refusals            *prometheus.CounterVec
	reports             *prometheus.CounterVec
	aborted             prometheus.Counter
	unframedEnds        *prometheus.CounterVec
	spoiled             *prometheus.CounterVec
	refusedConnections  prometheus.Counter
	givenUp             *prometheus.CounterVec
	callers             prometheus.Gauge
	version             prometheus.Gauge
	lag                 prometheus.Gauge
	linkLoad            prometheus.Gauge
	share               prometheus.Gauge
	availableThroughput prometheus.Gauge
	storeRestores       prometheus.Counter
	sharedUnread        prometheus.Counter
	signatures          prometheus.Gauge
	evacuatedZones      prometheus.Gauge
	watchesTargets      prometheus.Gauge
	coldTargets         prometheus.Gauge
	duration            prometheus.Histogram
	pace                prometheus.Histogram
	unreadableLoads     prometheus.Counter
}

func newMetrics() *routerMetrics {
	m := &routerMetrics{
		registry: prometheus.NewRegistry(),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chiveseam_edge_attempts_total", Help: "Attempts at targets by how they ended.",
		}, []string{"fate"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chiveseam_edge_results_total", Help: "Answers made by the router by result code.",
		}, []string{"code"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chiveseam_edge_share_refusals_total", Help: "Requests refused for others' sake by the limit that decided.",
		}, []string{"cause"}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chiveseam_edge_reports_total", Help: "Load reports by what became of them.",
		}, []string{"outcome"}),
		aborted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chiveseam_edge_aborted_total", Help: "Answers broken off.",
		}),
		unframedEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chiveseam_edge_unframed_ends_total", Help: "Ends of answers with neither a length nor chunks by what was known of their target's process.",
		}, []string{"evidence"}),
		spoiled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chiveseam_edge_spoiled_answers_total", Help: "Answers of targets that are none to their request or not whole, by what is wrong with them.",
		}, []string{"reason"}),
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chiveseam_edge_given_up_for_memory_total", Help: "Messages that were given up since the memory for them was used up, by kind.",
		}, []string{"message"}),
		refusedConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chiveseam_edge_refused_connections_total", Help: "Connections of callers beyond the limit.",
		}),
		callers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_callers", Help: "Open connections of callers.",
		}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_configuration_version", Help: "Version of the configuration in force.",
		}),
		lag: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_processor_lag_seconds", Help: "Mean time that work waits for the processor.",
		}),
		linkLoad: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_link_load", Help: "Load of the network link within the last second, in parts of its usable rate.",
		}),
		share: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_share_tokens_per_second", Help: "Share of a workspace; 0 while the capacity meets all demands.",
		}),
		availableThroughput: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_available_throughput", Help: "Part of the engines' throughput that their targets can provide now.",
		}),
		storeRestores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chiveseam_edge_store_restores_total", Help: "Restores of the store from a copy that this router has seen.",
		}),
		sharedUnread: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chiveseam_edge_shared_tokens_unread_total", Help: "Shared prompt tokens that engines had to process since they did not hold them.",
		}),
		signatures: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_quarantined_prompts", Help: "Sets of prompt parts that are refused since they crash targets.",
		}),
		watchesTargets: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_watches_targets", Help: "1 if this router watches the registrations of targets by itself, 0 if others of its zone do so for it.",
		}),
		evacuatedZones: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_evacuated_zones", Help: "Availability zones that are evacuated.",
		}),
		coldTargets: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chiveseam_edge_cold_targets", Help: "Targets that take a limited rate of requests since they are cold.",
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chiveseam_edge_request_duration_seconds", Help: "Time from a request's first byte to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
		pace: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chiveseam_edge_target_pace", Help: "Time that work takes on the machines of targets by their answers, in multiples of the usual time.",
			Buckets: []float64{0.5, 0.9, 1.1, 1.5, 2, 3, 5, 10},
		}),
		unreadableLoads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chiveseam_edge_unreadable_loads_total", Help: "Answers that state a load of their target that cannot be read or be true.",
		}),
	}
	m.registry.MustRegister(m.attempts, m.results, m.refusals, m.reports, m.aborted, m.unframedEnds, m.spoiled, m.refusedConnections, m.givenUp, m.callers,
		m.version, m.lag, m.linkLoad, m.share, m.availableThroughput, m.storeRestores, m.sharedUnread, m.signatures, m.evacuatedZones, m.watchesTargets, m.coldTargets, m.duration, m.pace, m.unreadableLoads)
	return m
}

// adminTimeout limits the time to read the header of a request for readiness or metrics.
const adminTimeout = 2 * time.Second

// readyServer returns the server of the readiness check: 200 if callers should be sent to this
// router, 503 otherwise.
func (e *Edge) readyServer() *http.Server {
	router := bunrouter.New()
	router.GET(e.readyPath, func(w http.ResponseWriter, _ bunrouter.Request) error {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	})
	return &http.Server{Handler: router, ReadHeaderTimeout: adminTimeout}
}

// isReady reports whether the router has read the configuration and the targets, is not stopping,
// and its processor and its link keep up with the load.
func (e *Edge) isReady() bool {
	_, unready, _ := e.overload.state()
	return e.table.Load() != nil && e.targetsRead.Load() && !e.stopping.Load() && !unready && !e.linkBusy.Load() && !e.startsBehind()
}

// metricsServer returns the server of the Prometheus metrics.
func (e *Edge) metricsServer() *http.Server {
	router := bunrouter.New()
	handler := promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{})
	router.GET("/metrics", bunrouter.HTTPHandler(handler))
	return &http.Server{Handler: router, ReadHeaderTimeout: adminTimeout}
}

// settingsPoll is the interval at which the settings file is checked: it may change without a
// signal to the process.
const settingsPoll = 2 * time.Second

// watchSettings reloads the settings file when its content changes, until ctx ends.
func (e *Edge) watchSettings(ctx context.Context) error {
	path := e.settings.SettingsFilePath
	last, err := os.ReadFile(path)
	if err != nil {
		level.Warn(e.logger).Log("event", "settings_unreadable", "error", err)
	}
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		current, err := os.ReadFile(path)
		if err != nil || string(current) == string(last) {
			continue
		}
		last = current
		e.Reload()
	}
}

// Reload reads the settings file again and applies the settings that can change while the router
// runs: the seeds and the limits of the retry budget. A file with mistakes is logged and changes
// nothing. It is safe for concurrent use.
func (e *Edge) Reload() {
	s, err := ReadSettings(e.settings.SettingsFilePath)
	if err != nil {
		level.Error(e.logger).Log("event", "reload_failed", "error", err)
		return
	}
	seeds, err := s.SeedAddresses()
	if err != nil {
		level.Error(e.logger).Log("event", "reload_failed", "error", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members.SetSeeds(seeds)
	e.settings.RetryRatio, e.settings.RetryMin, e.settings.RetryWindow = s.RetryRatio, s.RetryMin, s.RetryWindow
	level.Info(e.logger).Log("event", "reloaded", "seeds", s.Seeds, "retry_ratio", s.RetryRatio, "retry_min", s.RetryMin)
}
