// Package load generates the load of a deployment, verifies each answer and
// measures how the capacity was shared.
//
// A few workspaces, those with the greatest shares, are backlogged: each keeps
// a fixed number of requests open in each pool. The others send single
// requests at random times. Prompts and operations are unique, so that each
// answer can be checked to be whole and the caller's own. In the end the
// ledgers of the services tell what ran.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Options describe a run. Zero values are replaced by defaults.
type Options struct {
	Configuration *v1.Configuration
	// Routers holds the IP:port of the routers' entries, Admins those of
	// their endpoints for operators.
	Routers, Admins []string
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Drain is how long requests in progress may take after that.
	Drain time.Duration
	// Backlogged is the number of backlogged workspaces.
	Backlogged int
	// Concurrency is the number of open requests of a backlogged workspace in
	// each pool; 0 stands for half of the pool's slots.
	Concurrency int
	// LightInterval is the mean time between the requests of another
	// workspace in each pool.
	LightInterval time.Duration
	// FaultPercent is the part of service calls that ask the service to run
	// and close the connection without an answer.
	FaultPercent int
	Seed         uint64
}

// Defaults of Options.
const (
	DefaultDuration      = 30 * time.Second
	DefaultDrain         = 10 * time.Second
	DefaultBacklogged    = 4
	DefaultLightInterval = time.Second
)

const (
	// warmUp is left out of the measurement of shares and gaps.
	warmUp = 2 * time.Second
	// settleDelay is the time between the last request and reading the ledgers.
	settleDelay = 500 * time.Millisecond
	// minRetryDelay is the pause of a worker after a failed connection.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the Retry-After that a worker obeys.
	maxRetryDelay = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Drain <= 0 {
		o.Drain = DefaultDrain
	}
	if o.Backlogged <= 0 {
		o.Backlogged = DefaultBacklogged
	}
	if o.LightInterval <= 0 {
		o.LightInterval = DefaultLightInterval
	}
	return o
}

// generator is one run.
type generator struct {
	options Options
	// runID makes the names of operations unique among runs.
	runID      string
	client     *http.Client
	flows      []*flow
	recorder   *recorder
	lastNumber atomic.Uint64
}

// Run sends the load until its duration is over or ctx ends, and returns what
// was measured.
func Run(ctx context.Context, options Options) *Report {
	options = options.withDefaults()
	g := &generator{
		options:  options,
		runID:    uuid.NewString(),
		client:   newClient(),
		flows:    planFlows(options),
		recorder: newRecorder(),
	}
	before := fetchStatuses(ctx, g.client, options.Admins)
	measurement := g.runWorkers(ctx)
	time.Sleep(settleDelay)
	after := fetchStatuses(ctx, g.client, options.Admins)
	g.verifyLedgers(ctx)
	return g.report(measurement, before, after)
}

// runWorkers runs all workers until the requests in progress are over.
func (g *generator) runWorkers(ctx context.Context) *measurement {
	sendCtx, cancelSend := context.WithTimeout(ctx, g.options.Duration)
	defer cancelSend()
	requestCtx, cancelRequests := context.WithTimeout(ctx, g.options.Duration+g.options.Drain)
	defer cancelRequests()

	var workers sync.WaitGroup
	seed := g.options.Seed
	for _, f := range g.flows {
		for range f.workerCount {
			seed++
			rng := rand.New(rand.NewPCG(g.options.Seed, seed))
			workers.Go(func() { g.runWorker(sendCtx, requestCtx, f, rng) })
		}
	}
	measurement := g.measure(sendCtx)
	workers.Wait()
	return measurement
}

// runWorker sends the requests of one worker one after the other.
func (g *generator) runWorker(sendCtx, requestCtx context.Context, f *flow, rng *rand.Rand) {
	for sendCtx.Err() == nil {
		if !f.backlogged {
			mean := float64(g.options.LightInterval)
			sleep(sendCtx, time.Duration(rng.ExpFloat64()*mean))
		}
		if sendCtx.Err() != nil {
			return
		}
		sleep(sendCtx, g.sendRequest(requestCtx, f, rng))
	}
}

// sendRequest sends one sendRequest of the flow and returns how long to pause.
func (g *generator) sendRequest(ctx context.Context, f *flow, rng *rand.Rand) time.Duration {
	f.requests.Add(1)
	var result outcome
	if f.pool.Kind == v1.PoolKind_SERVICE {
		result = g.sendOperation(ctx, f, rng)
	} else {
		result = g.sendCompletion(ctx, f, rng)
	}
	if !result.served() {
		f.notServed.Add(1)
	}
	return result.nextRequestDelay()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
