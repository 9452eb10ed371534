package compose

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/requestkey"
)

// checkExport checks that a stopping router hands over the records of all its keys.
func (r *Router) checkExport(parts []requestkey.HandOver) {
	records := 0
	for _, h := range parts {
		records += len(h.Records)
	}
	if known := r.ledger.Len(); len(parts) > 0 && records != known {
		r.sim.fail("%s hands over %d of %d keys", r.member.Name, records, known)
	}
}

// handedOverRecord is the record of a key that a successor has accepted.
type handedOverRecord struct {
	record    requestkey.Record
	successor *Router
	// expires is the true time at which the record's remaining lifetime ends.
	expires time.Time
}

// checkHandOver records what a successor has accepted. A successor that is not stopping must
// accept if the fleet was not disrupted for undisruptedTime.
func (r *Router) checkHandOver(h requestkey.HandOver, accepted bool) {
	to := r.sim.peer(h.To)
	if !accepted {
		if r.sim.now.Sub(r.sim.lastDisruption) > undisruptedTime && !to.stopping {
			r.sim.fail("%s did not accept the keys of %s", h.To, r.member.Name)
		}
		return
	}
	for _, record := range h.Records {
		r.sim.Stats.HandOvers++
		r.sim.handedOver = append(r.sim.handedOver,
			handedOverRecord{record: record, successor: to, expires: r.sim.now.Add(record.Remaining)})
	}
}

// Finish checks, after all failures have ended, that all calls have ended and that the
// ledgers of the routers hold the right records.
func (sim *Simulation) Finish() {
	for _, c := range sim.calls {
		if c.Result == nil {
			sim.fail("operation %d has no final answer", c.op.Number)
		}
	}
	for _, h := range sim.handedOver {
		sim.checkHandedOver(h)
	}
	for _, c := range sim.calls {
		if c.op.Key != "" {
			sim.checkRecords(c.op)
		}
	}
}

// checkRecords checks that no router would replay an answer to the operation that is not from
// one of its own runs.
func (sim *Simulation) checkRecords(op *Operation) {
	for _, r := range sim.Routers {
		if !r.alive {
			continue
		}
		d := r.ledger.Begin(r.now(), requestkey.Request{ID: op.keyID(), Digest: op.keyDigest(), Forwarded: true})
		if d.Action == requestkey.Replay && !sim.isAnswerOf(op, string(d.Answer.Body)) {
			sim.fail("%s would replay the answer %q, which is not of operation %d", r.member.Name, d.Answer.Body, op.Number)
		}
	}
}

// isAnswerOf returns whether a body is the answer of a run of the operation.
func (sim *Simulation) isAnswerOf(op *Operation, body string) bool {
	return slices.ContainsFunc(sim.runs[op], func(run *TargetRun) bool { return run.body == body })
}

// checkHandedOver checks that a successor still remembers a key that was handed over to it,
// unless the record has expired or the successor has ended: it must replay a record with an
// answer and refuse the key of any other record.
func (sim *Simulation) checkHandedOver(h handedOverRecord) {
	if !h.successor.alive || !sim.now.Before(h.expires) {
		return
	}
	d := h.successor.ledger.Begin(h.successor.now(),
		requestkey.Request{ID: h.record.ID, Digest: h.record.Digest, Forwarded: true})
	replay := h.record.Answer != nil
	if replay && d.Action != requestkey.Replay || !replay && d.Action != requestkey.Refuse {
		sim.fail("%s does not know key %q that was handed over", h.successor.member.Name, h.record.ID.Key)
	}
}
