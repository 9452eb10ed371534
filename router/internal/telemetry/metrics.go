// Package telemetry counts the requests, messages and platform calls of a
// router. It exports the counts as Prometheus metrics and in the router's status.
package telemetry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// namespace is the prefix of all metric names.
const namespace = "chiveseam"

// Metrics counts the work of a router since its start. It implements
// entry.Observer, dispatch.UsageRecorder, peer.Traffic and control.Observer, and is
// safe for concurrent use.
//
// The counts that are also part of the status are kept a second time, in the
// fields that mu guards.
type Metrics struct {
	registry *prometheus.Registry

	resultsTotal     *prometheus.CounterVec
	requestDurations prometheus.Histogram
	deliveredCost    *prometheus.CounterVec
	messageBytes     *prometheus.CounterVec
	messagesTotal    *prometheus.CounterVec
	connBytes        *prometheus.CounterVec
	platformCalls    *prometheus.CounterVec
	rejectedConfigs  prometheus.Counter
	configRevision   prometheus.Gauge

	// mu guards the fields below and what they point to.
	mu                sync.Mutex
	resultCounts      map[v1.Code]uint64
	usageCounts       map[usageKey]*usageCount
	messageCounts     map[messageKey]*messageCount
	platformCallCount uint64
}

type usageKey struct{ workspace, pool string }

type usageCount struct {
	// cost is in cost units.
	cost     uint64
	requests uint64
}

// messageKey identifies a type of message between routers and its direction:
// peer.Sent or peer.Received. Two types count reads and writes instead of messages:
// "forwarding" those on connections for forwarded requests, and "connection" those
// on all other connections between routers.
type messageKey struct{ message, direction string }

type messageCount struct {
	bytes uint64
	count uint64
}

// NewMetrics returns metrics that start at zero, in their own registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:         prometheus.NewRegistry(),
		resultsTotal:     newCounterVec("results_total", "Requests by final result code.", "code", "name"),
		requestDurations: newDurationHistogram("request_duration_seconds", "Time from arrival to the end of the answer."),
		deliveredCost:    newCounterVec("delivered_cost_total", "Cost units delivered to a workspace.", "workspace", "pool"),
		messageBytes:     newCounterVec("control_message_bytes_total", "Bytes of messages between routers by type.", "message", "direction"),
		messagesTotal:    newCounterVec("control_messages_total", "Messages between routers by type.", "message", "direction"),
		connBytes:        newCounterVec("connection_bytes_total", "Bytes on connections between routers: control (connection), or requests that are passed on (forwarding).", "kind", "direction"),
		platformCalls:    newCounterVec("platform_calls_total", "Calls of the platform by outcome.", "resource", "outcome"),
		rejectedConfigs: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "rejected_configurations_total", Help: "Published configurations that were not accepted.",
		}),
		configRevision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "configuration_revision", Help: "Revision of the configuration in force.",
		}),
		resultCounts:  map[v1.Code]uint64{},
		usageCounts:   map[usageKey]*usageCount{},
		messageCounts: map[messageKey]*messageCount{},
	}
	m.registry.MustRegister(
		m.resultsTotal, m.requestDurations, m.deliveredCost, m.messageBytes, m.messagesTotal, m.connBytes,
		m.platformCalls, m.rejectedConfigs, m.configRevision,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newDurationHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
	})
}

// Registry returns the registry with all metrics, for the /metrics handler.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// RegisterGauge registers a gauge. Every scrape calls read for its value, and
// scrapes may run concurrently. RegisterGauge panics if the name is already
// registered.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// RequestRefused implements entry.Observer. Refused requests count by result
// code but not in the durations.
func (m *Metrics) RequestRefused(code v1.Code) { m.countResult(code) }

// RequestEnded implements entry.Observer. It counts the result code and records
// the duration.
func (m *Metrics) RequestEnded(code v1.Code, _ string, elapsed time.Duration) {
	m.countResult(code)
	m.requestDurations.Observe(elapsed.Seconds())
}

func (m *Metrics) countResult(code v1.Code) {
	m.resultsTotal.WithLabelValues(codeNumber(code), code.String()).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resultCounts[code]++
}

// Delivered implements dispatch.UsageRecorder. cost is in cost units.
func (m *Metrics) Delivered(workspace, pool string, cost uint32) {
	m.deliveredCost.WithLabelValues(workspace, pool).Add(float64(cost))
	m.mu.Lock()
	defer m.mu.Unlock()
	key := usageKey{workspace, pool}
	count, ok := m.usageCounts[key]
	if !ok {
		count = &usageCount{}
		m.usageCounts[key] = count
	}
	count.cost += uint64(cost)
	count.requests++
}

// AddBytes implements peer.Traffic. In the status, each call counts as one message
// sent if sent is not 0, and as one message received if received is not 0. The type
// of these messages is "connection" or "forwarding".
func (m *Metrics) AddBytes(sent, received int, forwarding bool) {
	kind := "connection"
	if forwarding {
		kind = "forwarding"
	}
	if sent > 0 {
		m.connBytes.WithLabelValues(kind, "sent").Add(float64(sent))
		m.countMessage(messageKey{kind, "sent"}, sent)
	}
	if received > 0 {
		m.connBytes.WithLabelValues(kind, "received").Add(float64(received))
		m.countMessage(messageKey{kind, "received"}, received)
	}
}

// AddMessage implements peer.Traffic. size is in bytes.
func (m *Metrics) AddMessage(name, direction string, size int) {
	m.messageBytes.WithLabelValues(name, direction).Add(float64(size))
	m.messagesTotal.WithLabelValues(name, direction).Inc()
	m.countMessage(messageKey{name, direction}, size)
}

func (m *Metrics) countMessage(key messageKey, size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count, ok := m.messageCounts[key]
	if !ok {
		count = &messageCount{}
		m.messageCounts[key] = count
	}
	count.bytes += uint64(size)
	count.count++
}

// PlatformCall implements control.Observer. It counts one call of the platform
// API.
func (m *Metrics) PlatformCall(resource, outcome string) {
	m.platformCalls.WithLabelValues(resource, outcome).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.platformCallCount++
}

// Configuration implements control.Observer. It sets the gauge of the
// configuration revision in force.
func (m *Metrics) Configuration(revision uint64) { m.configRevision.Set(float64(revision)) }

// Rejected implements control.Observer. It counts a published configuration that
// this router did not accept.
func (m *Metrics) Rejected() { m.rejectedConfigs.Inc() }
