// Package questionnaire generates the configuration of a deployment from the
// operators' answers, a YAML document. The same answers give the same
// configuration, byte for byte.
//
// Durations are written as "500ms", "5s" or "1h30m", sizes as bytes or with
// one of the units KB, MB, GB, TB (powers of 1000) and KiB, MiB, GiB, TiB
// (powers of 1024), percentages with or without "%". Fields that are not
// known are mistakes.
package questionnaire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Fields of the document and of the entries of its lists.
var (
	rootFields      = []string{"deployment", "zones", "deadlines", "engines", "services", "workspaces", "queue", "limits", "weight_store"}
	zoneFields      = []string{"name", "region", "data_centre"}
	deadlineFields  = []string{"name", "start", "end"}
	workspaceFields = []string{"name", "share", "token_digest", "token_digests", "pools", "data_centre", "queue"}
	queueFields     = []string{"requests", "size"}
	limitFields     = []string{"body", "all_bodies", "open_requests", "first_byte", "between_tokens", "retries"}
	storeFields     = []string{"loads_at_once", "rate"}
)

// Defaults of the queue of a workspace.
const (
	defaultQueuedRequests = 256
	defaultQueuedBytes    = 64 << 20
)

// Generate returns the configuration that the answers describe. Mistakes are
// reported all at once as Errors.
func Generate(answers []byte) (*v1.Configuration, error) {
	r := &reader{}
	root, err := r.document(answers)
	if err != nil {
		return nil, err
	}
	b := &builder{reader: r, config: &v1.Configuration{}}
	b.build(root)
	for _, err := range config.Validate(b.config) {
		r.add(b.origins.locate(err))
	}
	if errs := r.sorted(); len(errs) > 0 {
		return nil, errs
	}
	if size := proto.Size(b.config); size > config.MaxPayloadBytes {
		return nil, fmt.Errorf("generated configuration of %d bytes: %w", size, config.ErrPayloadTooLarge)
	}
	return b.config, nil
}

// builder fills a configuration from the sections of a document.
type builder struct {
	*reader
	config  *v1.Configuration
	origins origins
}

func (b *builder) build(root section) {
	b.origins.place("", root, fieldMap{"classes": {key: "deadlines"}, "pools": {key: "engines"}, "targets": {key: "engines"}})
	b.config.Deployment = root.text("deployment")
	for _, s := range root.list("zones", zoneFields) {
		b.zone(s)
	}
	for _, s := range root.list("deadlines", deadlineFields) {
		b.class(s)
	}
	for _, s := range root.list("engines", engineFields) {
		b.engines(s)
	}
	for _, s := range root.list("services", serviceFields) {
		b.services(s)
	}
	queue, _ := root.section("queue", queueFields)
	for _, s := range root.list("workspaces", workspaceFields) {
		b.workspace(s, queue)
	}
	b.limits(root)
	b.weightStore(root)
}

func (b *builder) zone(s section) {
	b.origins.place(fmt.Sprintf("zones[%d]", len(b.config.Zones)), s, nil)
	b.config.Zones = append(b.config.Zones, &v1.Zone{
		Name:       s.text("name"),
		Region:     s.text("region"),
		DataCentre: s.text("data_centre"),
	})
}

func (b *builder) class(s section) {
	b.origins.place(fmt.Sprintf("classes[%d]", len(b.config.Classes)), s, fieldMap{
		"deadline_ms": {key: "start", unit: "ms"},
		"total_ms":    {key: "end", unit: "ms"},
	})
	b.config.Classes = append(b.config.Classes, &v1.DeadlineClass{
		Name:       s.text("name"),
		DeadlineMs: s.millis("start"),
		TotalMs:    s.millis("end"),
	})
}

// workspace adds a workspace; queue holds the common bounds of its queue.
func (b *builder) workspace(s, queue section) {
	own, _ := s.section("queue", queueFields)
	requests, size := answering("requests", own, queue), answering("size", own, queue)
	w := &v1.Workspace{
		Name:              s.text("name"),
		Share:             s.number("share"),
		TokenSha256:       s.digests("token_digest", "token_digests"),
		Pools:             s.texts("pools"),
		MaxQueuedRequests: defaultQueuedRequests,
		MaxQueuedBytes:    defaultQueuedBytes,
		DataCentre:        s.text("data_centre"),
	}
	if requests.has("requests") {
		w.MaxQueuedRequests = requests.number("requests")
	}
	if size.has("size") {
		w.MaxQueuedBytes = size.size("size")
	}
	b.origins.place(fmt.Sprintf("workspaces[%d]", len(b.config.Workspaces)), s, fieldMap{
		"token_sha256":        {key: tokenKey(s)},
		"max_queued_requests": {in: requests, key: "requests"},
		"max_queued_bytes":    {in: size, key: "size", unit: "bytes"},
	})
	b.config.Workspaces = append(b.config.Workspaces, w)
}

// answering returns the first section that answers key, or the last one.
func answering(key string, first, last section) section {
	if first.has(key) {
		return first
	}
	return last
}

// tokenKey returns the key under which a workspace's digests are answered.
func tokenKey(s section) string {
	if s.has("token_digest") {
		return "token_digest"
	}
	return "token_digests"
}

func (b *builder) limits(root section) {
	s, ok := root.section("limits", limitFields)
	if !ok {
		return
	}
	b.origins.place("limits", s, fieldMap{
		"max_body_bytes":            {key: "body", unit: "bytes"},
		"max_bodies_bytes":          {key: "all_bodies", unit: "bytes"},
		"max_concurrent_requests":   {key: "open_requests"},
		"first_byte_timeout_ms":     {key: "first_byte", unit: "ms"},
		"between_tokens_timeout_ms": {key: "between_tokens", unit: "ms"},
		"retry_budget_percent":      {key: "retries", unit: "%"},
	})
	b.config.Limits = &v1.Limits{
		MaxBodyBytes:           s.size("body"),
		MaxBodiesBytes:         s.size("all_bodies"),
		MaxConcurrentRequests:  s.number("open_requests"),
		FirstByteTimeoutMs:     s.millis("first_byte"),
		BetweenTokensTimeoutMs: s.millis("between_tokens"),
		RetryBudgetPercent:     s.percent("retries"),
	}
}

func (b *builder) weightStore(root section) {
	s, ok := root.section("weight_store", storeFields)
	if !ok {
		return
	}
	b.origins.place("weight_store", s, fieldMap{
		"max_concurrent_loads": {key: "loads_at_once"},
		"bytes_per_second":     {key: "rate", unit: "bytes"},
	})
	b.config.WeightStore = &v1.WeightStore{
		MaxConcurrentLoads: s.number("loads_at_once"),
		BytesPerSecond:     s.size("rate"),
	}
}
