// Command chiveseam-soak runs router processes under random faults and checks the promises of
// docs/PROMISES.md.
//
// It exits with 0 if all promises were kept, with 1 if one was broken, with 2 when the command
// line is wrong, and with 3 if a run itself failed.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/chiveseam/chiveseam/internal/soak"
	"github.com/chiveseam/chiveseam/platform/standin"
)

// Exit codes of the program.
const (
	exitPassed    = 0
	exitViolation = 1
	exitUsage     = 2
	exitError     = 3
)

// options are the flags of the command line.
type options struct {
	Program string                `long:"program" default:"target/chiveseam-edge" description:"Path of the router program."`
	Seed    uint64                `long:"seed" default:"1" description:"Seed of the first run."`
	Runs    int                   `long:"runs" default:"1" description:"Number of runs, each with the next seed."`
	Length  time.Duration         `long:"length" default:"20s" description:"Time of the faults of one run."`
	Routers int                   `long:"routers" default:"6" description:"Router processes."`
	Targets int                   `long:"targets" default:"6" description:"Targets; every other one is a model engine."`
	Callers int                   `long:"callers" default:"24" description:"Callers."`
	Streams int                   `long:"stream-callers" default:"24" description:"Further callers, which read long streams."`
	Gap     time.Duration         `long:"interval" default:"500ms" description:"Mean time between the starts of two faults."`
	One     bool                  `long:"one-version" description:"All targets begin with one software version, which only releases and restarts under an ID change."`
	Memory  int                   `long:"memory-mb" default:"256" description:"Memory of a router's machine in MiB."`
	Kinds   []soak.Kind           `long:"kind" description:"Kind of fault; may be repeated. All kinds if it is not given."`
	Sets    []string              `long:"set" description:"Named list of kinds of fault: herd-kills, dark-ends, spoiled, generated or out-of-step. May be repeated, also beside --kind."`
	Answers []standin.AnswerFault `long:"answer-fault" description:"Fault of the answers that targets draw from a grammar; may be repeated. All of them if it is not given."`
	Count   bool                  `long:"count-cases" description:"Go on after a broken promise, and count the cases by promise."`
	Logs    string                `long:"logs" description:"Directory that keeps the routers' logs."`
	List    bool                  `long:"list-kinds" description:"Print the kinds of fault and exit."`
}

func main() { os.Exit(run(os.Args[1:])) }

// run parses the flags and performs the runs, or lists the kinds of fault. It returns the exit
// code.
func run(args []string) int {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		if flags.WroteHelp(err) {
			return exitPassed
		}
		return exitUsage
	}
	if o.List {
		for _, kind := range soak.Kinds {
			fmt.Println(kind)
		}
		return exitPassed
	}
	for _, name := range o.Sets {
		kinds, ok := soak.Sets[name]
		if !ok {
			fmt.Fprintf(os.Stderr, "unknown set %q\n", name)
			return exitUsage
		}
		o.Kinds = append(o.Kinds, kinds...)
	}
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		close(stop)
	}()
	return o.runAll(stop)
}

// runAll performs the runs one after another until stop is closed, and prints their reports. It
// returns exitViolation if a run broke a promise, and exitError at once if a run itself failed.
func (o *options) runAll(stop <-chan struct{}) int {
	code := exitPassed
	for seed := o.Seed; seed < o.Seed+uint64(o.Runs); seed++ {
		select {
		case <-stop:
			return code
		default:
		}
		report, err := o.runSeed(seed, stop)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return exitError
		}
		fmt.Print(report)
		if report.Violation != nil {
			code = exitViolation
		}
	}
	return code
}

// runSeed performs the run with the given seed. The routers' logs are deleted unless the flags
// name a directory for them.
func (o *options) runSeed(seed uint64, stop <-chan struct{}) (*soak.Report, error) {
	dir, err := o.logDir(seed)
	if err != nil {
		return nil, err
	}
	if o.Logs == "" {
		defer os.RemoveAll(dir)
	}
	return soak.Run(soak.Config{
		Program: o.Program, Dir: dir, Seed: seed, Length: o.Length, Routers: o.Routers, Targets: o.Targets,
		Callers: o.Callers, StreamCallers: o.Streams, Interval: o.Gap, OneVersion: o.One, Kinds: o.Kinds, MemoryMB: o.Memory,
		CountCases: o.Count, AnswerFaults: o.Answers,
	}, stop)
}

// logDir creates the directory of a run's settings and logs.
func (o *options) logDir(seed uint64) (string, error) {
	if o.Logs == "" {
		return os.MkdirTemp("", "chiveseam-soak-")
	}
	dir := filepath.Join(o.Logs, fmt.Sprintf("seed-%d", seed))
	return dir, os.MkdirAll(dir, 0o700)
}
