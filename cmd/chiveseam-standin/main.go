// Command chiveseam-standin runs stand-ins for the platform, for model engines and for plain
// services, and a load generator. They serve tests and the demo.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
	// exitCrash is the exit code of a single target that crashes because the crash fault was
	// set.
	exitCrash = 70
)

func main() {
	parser := flags.NewParser(nil, flags.Default)
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.summary, "", c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error of the parser or a command.
func exitCode(err error) int {
	var usage *flags.Error
	if !errors.As(err, &usage) {
		return exitFailure
	}
	if usage.Type == flags.ErrHelp {
		return 0
	}
	return exitUsage
}

// subcommand is one command of the program.
type subcommand struct {
	name, summary string
	command       flags.Commander
}

// commands returns all commands of the program.
func commands() []subcommand {
	return []subcommand{
		{"platform", "publish a configuration and a list of instances", &platformCommand{}},
		{"engine", "run one model engine", &engineCommand{}},
		{"engines", "run all engines of a configuration", &enginesCommand{}},
		{"service", "run one plain service", &serviceCommand{}},
		{"services", "run all services of a configuration", &servicesCommand{}},
		{"routers", "plan the routers of a trial on loopback", &routersCommand{}},
		{"load", "send the load of a deployment and print a report", &loadCommand{}},
	}
}

// newLogger returns a logger of JSON lines on standard error. It is safe for concurrent use.
func newLogger() log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
