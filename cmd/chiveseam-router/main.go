// Command chiveseam-router runs one router of the fleet.
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

// version is set when the program is linked.
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
	// memoryBase is the memory in bytes that the collector may use beside bodies.
	// The program's text and what is allocated while a collection runs come on
	// top of it.
	memoryBase = 32 << 20
	// bodyFactor is the memory for a byte of body: the body and its successor
	// while the collector has not freed it.
	bodyFactor = 2
)

// limitMemory makes the collector keep the router within its bound on bodies
// and a base, unless the environment sets a limit.
func limitMemory(s settings.Router) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryBase + bodyFactor*s.MaxBodiesBytes)
	}
}

func newLogger(least string, w io.Writer) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(least, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}
