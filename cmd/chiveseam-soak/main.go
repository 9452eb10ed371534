// Command chiveseam-soak plays random faults against router processes and checks the
// promises of docs/PROMISES.md.
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
)

// Exit codes of the program.
const (
	exitKept   = 0
	exitBroken = 1
	exitUsage  = 2
	exitFailed = 3
)

type options struct {
	Program string        `long:"program" default:"target/chiveseam-edge" description:"Path of the router program."`
	Seed    uint64        `long:"seed" default:"1" description:"Seed of the first run."`
	Runs    int           `long:"runs" default:"1" description:"Number of runs, each with the next seed."`
	Length  time.Duration `long:"length" default:"20s" description:"Time of the faults of one run."`
	Routers int           `long:"routers" default:"6" description:"Router processes."`
	Targets int           `long:"targets" default:"6" description:"Targets; every other one is a model engine."`
	Callers int           `long:"callers" default:"24" description:"Callers."`
	Kinds   []soak.Kind   `long:"kind" description:"Kind of fault; may be repeated. All kinds if it is not given."`
	Logs    string        `long:"logs" description:"Directory that keeps the routers' logs."`
	List    bool          `long:"list-kinds" description:"Print the kinds of fault and exit."`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		if flags.WroteHelp(err) {
			return exitKept
		}
		return exitUsage
	}
	if o.List {
		for _, kind := range soak.Kinds {
			fmt.Println(kind)
		}
		return exitKept
	}
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		close(stop)
	}()
	return o.play(stop)
}

// play plays the runs and returns the worst exit code.
func (o *options) play(stop <-chan struct{}) int {
	code := exitKept
	for seed := o.Seed; seed < o.Seed+uint64(o.Runs); seed++ {
		select {
		case <-stop:
			return code
		default:
		}
		report, err := o.one(seed, stop)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return exitFailed
		}
		fmt.Print(report)
		if report.Violation != nil {
			code = exitBroken
		}
	}
	return code
}

func (o *options) one(seed uint64, stop <-chan struct{}) (*soak.Report, error) {
	dir, err := o.directory(seed)
	if err != nil {
		return nil, err
	}
	if o.Logs == "" {
		defer os.RemoveAll(dir)
	}
	return soak.Run(soak.Config{
		Program: o.Program, Dir: dir, Seed: seed, Length: o.Length, Routers: o.Routers, Targets: o.Targets,
		Callers: o.Callers, Kinds: o.Kinds,
	}, stop)
}

func (o *options) directory(seed uint64) (string, error) {
	if o.Logs == "" {
		return os.MkdirTemp("", "chiveseam-soak-")
	}
	dir := filepath.Join(o.Logs, fmt.Sprintf("seed-%d", seed))
	return dir, os.MkdirAll(dir, 0o700)
}
