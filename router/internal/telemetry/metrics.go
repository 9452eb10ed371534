// Package telemetry counts what a router does, for metrics and for the status
// that operators ask for.
package telemetry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const namespace = "chiveseam"

// Metrics counts the work of a router. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry

	results       *prometheus.CounterVec
	durations     prometheus.Histogram
	delivered     *prometheus.CounterVec
	controlBytes  *prometheus.CounterVec
	controlCount  *prometheus.CounterVec
	connBytes     *prometheus.CounterVec
	platformCalls *prometheus.CounterVec
	rejected      prometheus.Counter
	revision      prometheus.Gauge

	mu       sync.Mutex
	codes    map[v1.Code]uint64
	usage    map[usageKey]*usageCount
	control  map[controlKey]*controlCount
	platform uint64
}

type usageKey struct{ workspace, pool string }

type usageCount struct {
	cost     uint64
	requests uint64
}

type controlKey struct{ message, direction string }

type controlCount struct {
	bytes uint64
	count uint64
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:      prometheus.NewRegistry(),
		results:       counterVec("results_total", "Requests by final result code.", "code", "name"),
		durations:     newDurations("request_duration_seconds", "Time from arrival to the end of the answer."),
		delivered:     counterVec("delivered_cost_total", "Cost units delivered to a workspace.", "workspace", "pool"),
		controlBytes:  counterVec("control_message_bytes_total", "Bytes of messages between routers by type.", "message", "direction"),
		controlCount:  counterVec("control_messages_total", "Messages between routers by type.", "message", "direction"),
		connBytes:     counterVec("connection_bytes_total", "Bytes on connections between routers: control (connection), or requests that are passed on (forwarding).", "kind", "direction"),
		platformCalls: counterVec("platform_calls_total", "Calls of the platform by outcome.", "resource", "outcome"),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "rejected_configurations_total", Help: "Published configurations that were not accepted.",
		}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "configuration_revision", Help: "Revision of the configuration in force.",
		}),
		codes:   map[v1.Code]uint64{},
		usage:   map[usageKey]*usageCount{},
		control: map[controlKey]*controlCount{},
	}
	m.registry.MustRegister(
		m.results, m.durations, m.delivered, m.controlBytes, m.controlCount, m.connBytes,
		m.platformCalls, m.rejected, m.revision,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newDurations(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
	})
}

// Registry returns the registry with all metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Gauge registers a gauge whose value is read when it is scraped.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Refused implements entry.Observer.
func (m *Metrics) Refused(code v1.Code) { m.count(code) }

// Ended implements entry.Observer.
func (m *Metrics) Ended(code v1.Code, _ string, elapsed time.Duration) {
	m.count(code)
	m.durations.Observe(elapsed.Seconds())
}

func (m *Metrics) count(code v1.Code) {
	m.results.WithLabelValues(codeNumber(code), code.String()).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.codes[code]++
}

// Delivered implements dispatch.UsageRecorder.
func (m *Metrics) Delivered(workspace, pool string, cost uint32) {
	m.delivered.WithLabelValues(workspace, pool).Add(float64(cost))
	m.mu.Lock()
	defer m.mu.Unlock()
	key := usageKey{workspace, pool}
	count, ok := m.usage[key]
	if !ok {
		count = &usageCount{}
		m.usage[key] = count
	}
	count.cost += uint64(cost)
	count.requests++
}

// Bytes implements peer.Traffic.
func (m *Metrics) Bytes(sent, received int, data bool) {
	kind := "connection"
	if data {
		kind = "forwarding"
	}
	if sent > 0 {
		m.connBytes.WithLabelValues(kind, "sent").Add(float64(sent))
		m.addControl(controlKey{kind, "sent"}, sent)
	}
	if received > 0 {
		m.connBytes.WithLabelValues(kind, "received").Add(float64(received))
		m.addControl(controlKey{kind, "received"}, received)
	}
}

// Message implements peer.Traffic.
func (m *Metrics) Message(name, direction string, size int) {
	m.controlBytes.WithLabelValues(name, direction).Add(float64(size))
	m.controlCount.WithLabelValues(name, direction).Inc()
	m.addControl(controlKey{name, direction}, size)
}

func (m *Metrics) addControl(key controlKey, size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count, ok := m.control[key]
	if !ok {
		count = &controlCount{}
		m.control[key] = count
	}
	count.bytes += uint64(size)
	count.count++
}

// PlatformCall counts one call of the platform.
func (m *Metrics) PlatformCall(resource, outcome string) {
	m.platformCalls.WithLabelValues(resource, outcome).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.platform++
}

// Configuration sets the revision in force.
func (m *Metrics) Configuration(revision uint64) { m.revision.Set(float64(revision)) }

// Rejected counts a configuration that was not accepted.
func (m *Metrics) Rejected() { m.rejected.Inc() }
