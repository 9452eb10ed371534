// Command chiveseamctl generates configurations from questionnaires, checks and compares
// configurations, and reports on a running fleet.
//
// It exits with 0 on success, with 1 on a failure, and with 2 when the command line or a file
// that it names is wrong.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/chiveseam/chiveseam/internal/operator"
)

const program = "chiveseamctl"

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	parser, err := newParser(&environment{ctx: ctx, stdout: stdout})
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(stdout, err)
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
	}
	return exitCode(err)
}

// exitCode returns the exit code for the result of a command.
func exitCode(err error) int {
	var usage *flags.Error
	var input operator.InputError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage), errors.As(err, &input):
		return exitUsage
	}
	return exitFailure
}
