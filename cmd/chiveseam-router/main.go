// Command chiveseam-router runs one router of the fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
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

func newLogger(least string, w io.Writer) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(least, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}
