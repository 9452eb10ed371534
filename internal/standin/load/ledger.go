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

// verifyLedgers compares what ran with what the callers were told.
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

// readLedgers returns the runs of each operation over all services.
func (g *generator) readLedgers(ctx context.Context) (map[string]int, error) {
	runs := map[string]int{}
	for _, target := range deployment.TargetsOf(g.options.Configuration, v1.PoolKind_SERVICE) {
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

// verifyOperation records a violation when an operation ran otherwise than its
// callers were told.
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

// reportedNotRun reports whether each attempt was answered with "not run".
func (op *operation) reportedNotRun() bool {
	for _, o := range op.outcomes {
		if !o.notRun() {
			return false
		}
	}
	return len(op.outcomes) > 0
}

// reportedServed reports whether an attempt was answered by a target.
func (op *operation) reportedServed() bool {
	for _, o := range op.outcomes {
		if o.served() {
			return true
		}
	}
	return false
}

// describe returns the call and its outcomes for a message.
func (op *operation) describe() string {
	text := op.call.method + " " + op.call.path
	for _, o := range op.outcomes {
		text += fmt.Sprintf(" [%d %s ran=%s]", o.code, o.name, o.ran)
	}
	return text
}

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
