// Command measure runs the schedulers of pools against simulated routers and targets in virtual time
// (package internal/measure). It prints the table that its argument names: of the schedulers'
// fairness, their use of capacity or their control traffic.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/chiveseam/chiveseam/internal/measure"
)

// options holds the flags and the argument, parsed by go-flags.
type options struct {
	Questionnaires []string      `long:"questionnaire" description:"Questionnaire of a deployment; may be repeated." default:"examples/siam-broadsheet.yaml" default:"examples/atlas-sous-bois.yaml"`
	Seeds          int           `long:"seeds" description:"Number of runs, with the seeds 1, 2 and so on." default:"7"`
	Duration       time.Duration `long:"duration" description:"Virtual time of a run." default:"300s"`
	Warmup         time.Duration `long:"warmup" description:"Virtual time before the figures start." default:"0s"`
	Latency        time.Duration `long:"latency" description:"Time that a message between routers takes." default:"1ms"`
	RateSpread     float64       `long:"rate-spread" description:"Standard deviation of the logarithm of the rate at which slots serve requests." default:"0"`
	Args           struct {
		Table string `positional-arg-name:"table" description:"fairness, waits, failures, shards, hot, regions or traffic" choice:"fairness" choice:"waits" choice:"failures" choice:"shards" choice:"hot" choice:"regions" choice:"traffic"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var o options
	_, err := flags.NewParser(&o, flags.HelpFlag).ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return nil
	}
	if err != nil {
		return err
	}
	m := measure.Options{Seeds: o.Seeds, Duration: o.Duration, Latency: o.Latency, Warmup: o.Warmup, RateSpread: o.RateSpread}
	for _, path := range o.Questionnaires {
		d, err := measure.LoadDeployment(path)
		if err != nil {
			return err
		}
		m.Deployments = append(m.Deployments, d)
	}
	switch o.Args.Table {
	case "fairness":
		m.Fairness(os.Stdout)
	case "waits":
		m.Waits(os.Stdout)
	case "traffic":
		measure.TrafficTables(os.Stdout, uint64(o.Seeds))
	case "shards":
		m.Shards(os.Stdout)
	case "hot":
		m.HotShards(os.Stdout)
	case "regions":
		m.Regions(os.Stdout)
	case "failures":
		m.Failures(os.Stdout)
	default:
		return fmt.Errorf("unknown table %q", o.Args.Table)
	}
	return nil
}
