// Package load sends requests to the routers of a deployment, verifies each answer and
// measures how the capacity of the pools was shared.
//
// The workspaces with the largest shares are backlogged: each keeps a fixed number of
// requests open in each pool. The others send single requests at random times. Prompts
// and operations are unique, so that the generator can check for each answer that it is
// complete and belongs to its request. At the end it compares the ledgers of the
// services, which count what really ran, with the outcomes that the routers reported.
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

// Options configure a run. Zero values are replaced by defaults where one exists.
type Options struct {
	Configuration *v1.Configuration
	// Routers holds the entry addresses of the routers, and Admins the addresses of
	// their operator endpoints, each as IP:port.
	Routers, Admins []string
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Drain is how long requests in progress may take after Duration.
	Drain time.Duration
	// Backlogged is the number of backlogged workspaces.
	Backlogged int
	// Concurrency is the number of open requests of a backlogged workspace in each pool;
	// 0 stands for half of the pool's slots.
	Concurrency int
	// LightInterval is the mean time that a workspace which is not backlogged waits
	// between two requests to a pool.
	LightInterval time.Duration
	// FaultPercent is the percentage of service operations that ask the service to run
	// and then close the connection without an answer.
	FaultPercent int
	// Seed is the seed of the random choices and part of each prompt. The IDs of runs and
	// keys do not depend on it.
	Seed uint64
}

// Defaults of Options.
const (
	DefaultDuration      = 30 * time.Second
	DefaultDrain         = 10 * time.Second
	DefaultBacklogged    = 4
	DefaultLightInterval = time.Second
)

const (
	// warmUp is the time at the start of a run that the measurement of shares and gaps
	// leaves out; in short runs it is a quarter of the duration.
	warmUp = 2 * time.Second
	// settleDelay is the time between the end of the last request and the reading of the
	// routers' statuses and the services' ledgers.
	settleDelay = 500 * time.Millisecond
	// minRetryDelay is the shortest wait of a worker after a failure. It applies to
	// failed connections and to answers without Retry-After.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay is the longest Retry-After that a worker obeys.
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

// generator is the state of one run.
type generator struct {
	options Options
	// runID makes the names of operations unique among runs.
	runID    string
	client   *http.Client
	flows    []*flow
	recorder *recorder
	// lastNumber numbers the prompts and operations of the run.
	lastNumber atomic.Uint64
}

// Run sends requests until the duration is over or ctx ends, waits for those in
// progress, and returns the report of the run. Failures are part of the report: see
// Report.Err.
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

// runWorkers starts the workers of all flows, measures while they send, and returns when
// the last request has ended. Each worker has its own random source, seeded from
// Options.Seed.
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

// runWorker sends requests of f one after the other until sendCtx ends. Requests in
// progress may continue until requestCtx ends.
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

// sendRequest sends one request of the flow and returns how long to wait before the
// next.
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
