package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// maxDetails is the number of violations of one kind that are printed in full.
const maxDetails = 5

// Report is the result of a run. It is not safe for concurrent use.
type Report struct {
	options     Options
	flows       []*flow
	recorder    *recorder
	measurement *measurement
	// before and after are the routers' statuses at the start and the end of the run, by
	// the address of the router's operator endpoint.
	before, after map[string]*v1.RouterStatus
}

func (g *generator) report(m *measurement, before, after map[string]*v1.RouterStatus) *Report {
	return &Report{
		options:     g.options,
		flows:       g.flows,
		recorder:    g.recorder,
		measurement: m,
		before:      before,
		after:       after,
	}
}

// Err returns an error if a violation was found, if the ledgers could not be read, or if
// no request was served.
func (r *Report) Err() error {
	if r.recorder.ledgerErr != nil {
		return fmt.Errorf("not verified: %w", r.recorder.ledgerErr)
	}
	total := 0
	for _, details := range r.recorder.violations {
		total += len(details)
	}
	if total > 0 {
		return fmt.Errorf("%d violations", total)
	}
	if r.servedRequests() == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}

// servedRequests returns the number of requests that a target answered.
func (r *Report) servedRequests() int {
	served := 0
	for key, n := range r.recorder.results {
		if (outcome{code: key.code, name: key.name}).served() {
			served += n
		}
	}
	return served
}

// Print writes the report to w as text tables.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "== %s: %v of load, %v measured, seed %d\n",
		r.options.Configuration.Deployment, r.options.Duration, r.measurement.elapsed.Round(time.Millisecond), r.options.Seed)
	for _, pool := range r.options.Configuration.Pools {
		r.printPool(w, pool)
	}
	r.printLatencies(w)
	r.printResults(w)
	r.printRouters(w)
	r.printViolations(w)
}

// printPool writes a table with a row for each flow of the pool.
func (r *Report) printPool(w io.Writer, pool *v1.Pool) {
	fmt.Fprintf(w, "\nPool %s: %s\n", pool.Name, r.describePool(pool.Name))
	table := newTable(w)
	fmt.Fprintln(table, "workspace\tload\tshare\trequests\tnot served\tdeserved %\treceived %\tfirst p50 ms\tfirst p95 ms\t")
	fairCosts := r.fairCosts(pool.Name)
	total := r.deliveredCost(pool.Name)
	for _, f := range r.flowsOf(pool.Name) {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%s\t%s\t\n",
			f.workspace.Name, f.loadKind(), f.workspace.Share, f.requests.Load(), f.notServed.Load(),
			percent(fairCosts[f], total), percent(float64(r.measurement.receivedCost[f]), total),
			formatMs(f.firstLatency.valueAt(50)), formatMs(f.firstLatency.valueAt(95)))
	}
	table.Flush()
}

// describePool returns the utilisation of the pool's slots and the largest service gap
// between its backlogged workspaces.
func (r *Report) describePool(pool string) string {
	text := "utilisation of slots unknown"
	if usage := r.measurement.usage[pool]; usage != nil {
		text = fmt.Sprintf("utilisation of slots %.1f %%, peak load %.2f of the slots of %s, over its slots in %.1f %% of readings",
			percent(usage.usedSum, float64(usage.readings)), usage.peak, usage.peakTarget,
			percent(float64(usage.overloadedReadings), float64(usage.readings)))
	}
	rate := r.deliveredCost(pool) / r.measurement.elapsed.Seconds()
	if tracker := r.measurement.gaps[pool]; tracker != nil && rate > 0 {
		text += fmt.Sprintf(", largest gap %.0f cost units = %.2f s of the pool's throughput",
			tracker.maxGap(), tracker.maxGap()/rate)
	}
	return text
}

// loadKind returns the word for the flow's kind of load in the report.
func (f *flow) loadKind() string {
	if f.backlogged {
		return "backlogged"
	}
	return "light"
}

// flowsOf returns the flows to a pool.
func (r *Report) flowsOf(pool string) []*flow {
	var flows []*flow
	for _, f := range r.flows {
		if f.pool.Name == pool {
			flows = append(flows, f)
		}
	}
	return flows
}

// deliveredCost returns the cost that a pool delivered during the measurement.
func (r *Report) deliveredCost(pool string) float64 {
	total := 0.0
	for _, f := range r.flowsOf(pool) {
		total += float64(r.measurement.receivedCost[f])
	}
	return total
}

// fairCosts returns the cost that a fair division of the delivered cost gives each flow
// of a pool: to a light flow what it received, and to a backlogged flow the part of the
// rest that is in proportion to its share.
func (r *Report) fairCosts(pool string) map[*flow]float64 {
	rest := r.deliveredCost(pool)
	shares := 0.0
	costs := map[*flow]float64{}
	for _, f := range r.flowsOf(pool) {
		if f.backlogged {
			shares += f.share()
			continue
		}
		costs[f] = float64(r.measurement.receivedCost[f])
		rest -= costs[f]
	}
	for _, f := range r.flowsOf(pool) {
		if f.backlogged {
			costs[f] = rest * f.share() / shares
		}
	}
	return costs
}

func (r *Report) printLatencies(w io.Writer) {
	fmt.Fprintln(w, "\nLatency in ms")
	table := newTable(w)
	fmt.Fprintln(table, "of\tcount\tp50\tp95\tp99\tmax\t")
	rows := []struct {
		name    string
		latency *latency
	}{
		{"first token, light", &r.recorder.firstTokenLight},
		{"first token, backlogged", &r.recorder.firstTokenBacklogged},
		{"between tokens", &r.recorder.betweenTokens},
		{"whole model answer", &r.recorder.modelAnswerTime},
		{"service answer", &r.recorder.serviceAnswerTime},
	}
	for _, row := range rows {
		l := row.latency
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t\n",
			row.name, l.count(), formatMs(l.valueAt(50)), formatMs(l.valueAt(95)), formatMs(l.valueAt(99)), formatMs(l.valueAt(100)))
	}
	table.Flush()
}

func (r *Report) printResults(w io.Writer) {
	fmt.Fprintln(w, "\nAnswers by result code")
	table := newTable(w)
	fmt.Fprintln(table, "code\tname\tran\tcount\t")
	for _, key := range r.recorder.sortedResults() {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t\n", key.code, key.name, key.ran, r.recorder.results[key])
	}
	table.Flush()
}

// printViolations writes the number of violations of each kind and the details of the
// first maxDetails of them.
func (r *Report) printViolations(w io.Writer) {
	fmt.Fprintf(w, "\n%d service operations, idempotent ones run more than once: %d, operations of other callers in the ledgers: %d\n",
		len(r.recorder.operations), r.recorder.repeatedIdempotent, r.recorder.unknownOperations)
	if r.recorder.ledgerErr != nil {
		fmt.Fprintf(w, "ledgers not read: %v\n", r.recorder.ledgerErr)
	}
	if len(r.recorder.violations) == 0 {
		fmt.Fprintln(w, "violations: none")
		return
	}
	for _, kind := range slices.Sorted(maps.Keys(r.recorder.violations)) {
		details := r.recorder.violations[kind]
		fmt.Fprintf(w, "VIOLATION: %s: %d\n", kind, len(details))
		for _, detail := range details[:min(maxDetails, len(details))] {
			fmt.Fprintf(w, "  %s\n", detail)
		}
	}
}

func newTable(w io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
}

// percent returns part as a percentage of total, or 0 if total is 0.
func percent(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return 100 * part / total
}

// formatMs returns d in milliseconds with one decimal.
func formatMs(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000)
}
