// Package questionnaire generates the configuration of a deployment from a questionnaire, a YAML
// document with the operators' answers. The same answers give the same configuration, byte for
// byte.
//
// Durations are written as "500ms", "5s" or "1h30m", sizes as a number of bytes or with one of the
// units KB, MB, GB, TB (powers of 1000) and KiB, MiB, GiB, TiB (powers of 1024), and percentages
// with or without "%". Unknown fields are errors.
//
// A section reads single answers; the builder assembles the configuration from them and records the
// origin of each object. config.Validate then checks the configuration as a whole, and origins
// converts its errors to errors of the answers.
package questionnaire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Names of the fields in the document and in its nested mappings.
var (
	rootFields        = []string{"deployment", "zones", "deadlines", "engines", "services", "workspaces", "queue", "limits", "weight_store"}
	zoneFields        = []string{"name", "region", "data_centre"}
	deadlineFields    = []string{"name", "start", "end"}
	workspaceFields   = []string{"name", "share", "token_digest", "token_digests", "pools", "data_centre", "queue"}
	queueFields       = []string{"requests", "size"}
	limitFields       = []string{"body", "all_bodies", "open_requests", "first_byte", "between_tokens", "retries"}
	weightStoreFields = []string{"loads_at_once", "rate"}
)

// Bounds of a workspace's queue if the questionnaire gives none.
const (
	defaultQueuedRequests = 256
	defaultQueuedBytes    = 64 << 20
)

// Generate returns the configuration that the answers describe. It reports all invalid answers at
// once as Errors. If the answers are valid but the configuration is too large to be published, the
// error wraps config.ErrPayloadTooLarge.
func Generate(answers []byte) (*v1.Configuration, error) {
	r := &reader{}
	root, err := r.document(answers)
	if err != nil {
		return nil, err
	}
	b := &builder{reader: r, config: &v1.Configuration{}}
	b.build(root)
	for _, err := range config.Validate(b.config) {
		r.add(b.origins.answerError(err))
	}
	if errs := r.sortedErrors(); len(errs) > 0 {
		return nil, errs
	}
	if size := proto.Size(b.config); size > config.MaxPayloadBytes {
		return nil, fmt.Errorf("generated configuration of %d bytes: %w", size, config.ErrPayloadTooLarge)
	}
	return b.config, nil
}

// builder creates a configuration from the sections of a document.
type builder struct {
	*reader
	config *v1.Configuration
	// origins locates the answers for errors that config.Validate finds.
	origins origins
}

func (b *builder) build(root section) {
	b.origins.record("", root, fieldMap{"classes": {key: "deadlines"}, "pools": {key: "engines"}, "targets": {key: "engines"}})
	b.config.Deployment = root.text("deployment")
	for _, s := range root.list("zones", zoneFields) {
		b.addZone(s)
	}
	for _, s := range root.list("deadlines", deadlineFields) {
		b.addDeadlineClass(s)
	}
	for _, s := range root.list("engines", engineFields) {
		b.addEnginePool(s)
	}
	for _, s := range root.list("services", serviceFields) {
		b.addServicePool(s)
	}
	queue, _ := root.section("queue", queueFields)
	for _, s := range root.list("workspaces", workspaceFields) {
		b.addWorkspace(s, queue)
	}
	b.setLimits(root)
	b.setWeightStore(root)
}

func (b *builder) addZone(s section) {
	b.origins.record(fmt.Sprintf("zones[%d]", len(b.config.Zones)), s, nil)
	b.config.Zones = append(b.config.Zones, &v1.Zone{
		Name:       s.text("name"),
		Region:     s.text("region"),
		DataCentre: s.text("data_centre"),
	})
}

func (b *builder) addDeadlineClass(s section) {
	b.origins.record(fmt.Sprintf("classes[%d]", len(b.config.Classes)), s, fieldMap{
		"deadline_ms": {key: "start", unit: "ms"},
		"total_ms":    {key: "end", unit: "ms"},
	})
	b.config.Classes = append(b.config.Classes, &v1.DeadlineClass{
		Name:       s.text("name"),
		DeadlineMs: s.millis("start"),
		TotalMs:    s.millis("end"),
	})
}

// addWorkspace adds the workspace that s describes. The section queue holds the bounds for
// workspaces that do not have their own.
func (b *builder) addWorkspace(s, queue section) {
	own, _ := s.section("queue", queueFields)
	requests, size := sectionWith("requests", own, queue), sectionWith("size", own, queue)
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
	b.origins.record(fmt.Sprintf("workspaces[%d]", len(b.config.Workspaces)), s, fieldMap{
		"token_sha256":        {key: tokenDigestKey(s)},
		"max_queued_requests": {otherSection: requests, key: "requests"},
		"max_queued_bytes":    {otherSection: size, key: "size", unit: "bytes"},
	})
	b.config.Workspaces = append(b.config.Workspaces, w)
}

// sectionWith returns first if it has an answer for key, otherwise last.
func sectionWith(key string, first, last section) section {
	if first.has(key) {
		return first
	}
	return last
}

// tokenDigestKey returns the key to which errors in a workspace's token digests are attributed:
// "token_digest" if it is given, otherwise "token_digests".
func tokenDigestKey(s section) string {
	if s.has("token_digest") {
		return "token_digest"
	}
	return "token_digests"
}

func (b *builder) setLimits(root section) {
	s, ok := root.section("limits", limitFields)
	if !ok {
		return
	}
	b.origins.record("limits", s, fieldMap{
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

func (b *builder) setWeightStore(root section) {
	s, ok := root.section("weight_store", weightStoreFields)
	if !ok {
		return
	}
	b.origins.record("weight_store", s, fieldMap{
		"max_concurrent_loads": {key: "loads_at_once"},
		"bytes_per_second":     {key: "rate", unit: "bytes"},
	})
	b.config.WeightStore = &v1.WeightStore{
		MaxConcurrentLoads: s.number("loads_at_once"),
		BytesPerSecond:     s.size("rate"),
	}
}
