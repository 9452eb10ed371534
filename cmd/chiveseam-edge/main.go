// Command chiveseam-edge runs one router: it reads the settings file that the platform provides and
// runs an edge.Edge until it receives SIGINT or SIGTERM. SIGHUP reloads the settings file.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jessevdk/go-flags"
	"go.opentelemetry.io/otel/trace"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/edge"
	"github.com/chiveseam/chiveseam/internal/deadpeer"
	"github.com/chiveseam/chiveseam/internal/jsonlog"
	"github.com/chiveseam/chiveseam/internal/logqueue"
	"github.com/chiveseam/chiveseam/internal/tracing"
	"github.com/chiveseam/chiveseam/platform"
)

// version is set by the linker.
var version = "devel"

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// options are the flags of the command line.
type options struct {
	Settings string `long:"settings" description:"Path of the settings file; the platform names it otherwise."`
	Check    bool   `long:"check" description:"Check the settings file and exit."`
	Help     bool   `long:"help-settings" description:"Print the settings and exit."`
	Version  bool   `long:"version" description:"Print the version and exit."`
}

func main() { os.Exit(run(os.Args[1:])) }

// run parses the flags, runs the command and returns its exit code.
func run(args []string) int {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitUsage
	}
	if o.Version {
		fmt.Println("chiveseam-edge", version)
		return exitOK
	}
	if o.Help {
		edge.WriteSettingsHelp(os.Stdout)
		return exitOK
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsVariable)
	}
	s, err := edge.ReadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if o.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(s)
}

// heapMemoryShare is the fraction of the process's memory that is set as the Go runtime's memory
// limit. The rest is for the program's text, thread stacks and the kernel's buffers.
const heapMemoryShare = 0.6

// serve runs a router until it receives a signal to stop, and returns the exit code. Log lines pass
// through a queue so that a slow reader of standard output does not block the router.
func serve(s *edge.Settings) int {
	debug.SetMemoryLimit(int64(heapMemoryShare * float64(s.MemoryMB) * (1 << 20)))
	var logs tomb.Tomb
	queue := logqueue.New(os.Stdout)
	logs.Go(func() error { return queue.Run(&logs) })
	defer func() {
		logs.Kill(nil)
		logs.Wait()
	}()
	logger := log.With(jsonlog.New(queue), "time", log.DefaultTimestampUTC)
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
	spans, err := tracing.New(context.Background(), s.OTLPURL, "chiveseam-edge", s.Name, s.Zone)
	if err != nil {
		level.Error(logger).Log("event", "start_failed", "error", err)
		return exitFailure
	}
	defer closeSpans(spans, logger)
	transport := newTransport()
	e, err := edge.New(edge.Options{
		Settings: s, Headers: platform.Headers(), ReadyPath: platform.ReadyPath,
		Source: platform.NewStore(s.Store, transport), Inspector: platform.NewEngines(transport), Logger: logger, Version: version,
		Tracer: tracer(s, spans),
	})
	if err != nil {
		level.Error(logger).Log("event", "start_failed", "error", err)
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	reloadOnHangup(ctx, e)
	if err := e.Run(ctx); err != nil {
		level.Error(logger).Log("event", "failed", "error", err)
		return exitFailure
	}
	return exitOK
}

// tracer returns the tracer for requests. It returns nil if no collector is configured, so that
// requests do not have the cost of spans.
func tracer(s *edge.Settings, spans *tracing.Tracing) trace.Tracer {
	if s.OTLPURL == "" {
		return nil
	}
	return spans.Tracer()
}

// closeSpansTimeout limits the time to send the last spans.
const closeSpansTimeout = 2 * time.Second

// closeSpans sends the spans that have not been sent yet.
func closeSpans(spans *tracing.Tracing, logger log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), closeSpansTimeout)
	defer cancel()
	if err := spans.Close(ctx); err != nil {
		level.Warn(logger).Log("event", "traces_lost", "error", err)
	}
}

// reloadOnHangup reloads the settings file at each SIGHUP until ctx ends.
func reloadOnHangup(ctx context.Context, e *edge.Edge) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				e.Reload()
			}
		}
	}()
}

const (
	// platformDialTimeout limits the time to connect to the store, which answers in 4 ms.
	platformDialTimeout = 300 * time.Millisecond
	// platformIdleTimeout is how long an idle connection to the store is kept for the next call.
	platformIdleTimeout = 10 * time.Second
)

// newTransport returns the HTTP transport for calls to the store and to the model engines' cache
// lists. Callers' requests do not use it.
func newTransport() *http.Transport {
	dialer := deadpeer.Dialer(platformDialTimeout)
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: platformIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: platform.MaxHeaderBytes}
}
