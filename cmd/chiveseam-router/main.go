// Command chiveseam-router runs one router of the fleet until it receives SIGINT or SIGTERM.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/router"
	"github.com/chiveseam/chiveseam/settings"
)

// version is set by the linker.
var version = "devel"

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the settings, runs the router unless they ask for something else, and returns the
// exit code.
func run(args []string, stdout, stderr io.Writer) int {
	s, err := settings.Parse(args)
	var help settings.HelpError
	switch {
	case errors.As(err, &help):
		fmt.Fprintln(stdout, help.Text)
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitUsage
	case s.Version:
		fmt.Fprintln(stdout, settings.Program, version)
		return exitOK
	case s.Check:
		fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	return serve(*s, stderr)
}

// serve runs a router until it is told to stop, and returns the exit code.
func serve(s settings.Router, stderr io.Writer) int {
	logger := newLogger(s.LogLevel, stderr)
	limitMemory(s)
	r, err := router.New(s, version, logger)
	if err != nil {
		level.Error(logger).Log("event", "start_failed", "error", err)
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := r.Run(ctx); err != nil {
		level.Error(logger).Log("event", "failed", "error", err)
		return exitFailure
	}
	return exitOK
}

const (
	// baseMemoryBytes is the part of the Go runtime's memory limit that isn't for request
	// bodies. The program's text and what is allocated while the garbage collector runs come on
	// top of the limit.
	baseMemoryBytes = 32 << 20
	// memoryPerBodyByte is the memory needed for each byte of request bodies: for the body
	// itself, and for a later body while the garbage collector hasn't freed the earlier one.
	memoryPerBodyByte = 2
)

// limitMemory sets the Go runtime's memory limit from the settings' limit on the bytes of
// request bodies. If the environment variable GOMEMLIMIT is set, the runtime has applied that
// already and it stays.
func limitMemory(s settings.Router) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(baseMemoryBytes + memoryPerBodyByte*s.MaxBodiesBytes)
	}
}

// newLogger returns a logger of JSON lines of at least the given level. It is safe for
// concurrent use.
func newLogger(minLevel string, w io.Writer) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}
