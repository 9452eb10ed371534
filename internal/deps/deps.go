//go:build deps

// Package deps keeps the module's dependencies in go.mod while the packages
// that import them are being written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-kit/log"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/matryer/is"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/uptrace/bunrouter"
	_ "go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sync/errgroup"
	_ "gopkg.in/tomb.v2"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc/drpcconn"
	_ "storj.io/drpc/drpcmux"
	_ "storj.io/drpc/drpcserver"
)
