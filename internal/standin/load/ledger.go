package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// verifyLedgers compares the runs in the services' ledgers with the outcomes that the
// callers received. It is called after all workers have ended.
func (g *generator) verifyLedgers(ctx context.Context) {
	runs, err := g.readLedgers(ctx)
	if err != nil {
		g.recorder.ledgerErr = err
		return
	}
	for _, op := range g.recorder.operations {
		g.recorder.verifyOperation(op, runs[op.name])
		delete(runs, op.name)
	}
	g.recorder.unknownOperations = len(runs)
}

// readLedgers returns how often each operation ran, summed over all services.
func (g *generator) readLedgers(ctx context.Context) (map[string]int, error) {
	runs := map[string]int{}
	for _, target := range deployment.TargetsOfKind(g.options.Configuration, v1.PoolKind_SERVICE) {
		var ledger service.Report
		if err := getJSON(ctx, g.client, "http://"+target.Address+"/control/ledger", &ledger); err != nil {
			return nil, fmt.Errorf("ledger of %s: %w", target.Name, err)
		}
		for operation, n := range ledger.Runs {
			runs[operation] += n
		}
	}
	return runs, nil
}

// verifyOperation records a violation if the number of runs contradicts the outcomes
// that the caller received, or if a non-idempotent operation ran more than once.
func (r *recorder) verifyOperation(op *operation, runs int) {
	if runs > 1 && op.idempotent {
		r.repeatedIdempotent++
	}
	if runs > 1 && !op.idempotent {
		r.violate(violationRepeatedRun, fmt.Sprintf("%s ran %d times: %s", op.name, runs, op.describe()))
	}
	if runs > 0 && op.reportedNotRun() {
		r.violate(violationFalseNotRun, fmt.Sprintf("%s: %s", op.name, op.describe()))
	}
	if runs == 0 && op.reportedServed() {
		r.violate(violationFalseServed, fmt.Sprintf("%s: %s", op.name, op.describe()))
	}
}

// reportedNotRun reports whether the outcome of every attempt states that it did not
// run.
func (op *operation) reportedNotRun() bool {
	for _, o := range op.outcomes {
		if !o.notRun() {
			return false
		}
	}
	return len(op.outcomes) > 0
}

// reportedServed reports whether at least one attempt got the answer of a target.
func (op *operation) reportedServed() bool {
	for _, o := range op.outcomes {
		if o.served() {
			return true
		}
	}
	return false
}

// describe returns the call and its outcomes for the text of a violation.
func (op *operation) describe() string {
	text := op.call.method + " " + op.call.path
	for _, o := range op.outcomes {
		text += fmt.Sprintf(" [%d %s ran=%s]", o.code, o.name, o.ran)
	}
	return text
}

// getJSON requests url and decodes the answer into the value that into points to.
func getJSON(ctx context.Context, client *http.Client, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer drainBody(resp)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
