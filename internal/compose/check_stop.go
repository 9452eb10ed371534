package compose

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/requestkey"
)

// checkExport checks that a stopping router hands over all keys that it knows.
func (r *Router) checkExport(parts []requestkey.HandOver) {
	records := 0
	for _, h := range parts {
		records += len(h.Records)
	}
	if known := r.ledger.Len(); len(parts) > 0 && records != known {
		r.sim.fail("%s hands over %d of %d keys", r.member.Name, records, known)
	}
}

// handedOverRecord is a record that a successor has accepted.
type handedOverRecord struct {
	record    requestkey.Record
	successor *Router
	expires   time.Time
}

// checkHandOver notes what a successor has accepted. While all can talk it must
// accept.
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
		r.sim.handedOver = append(r.sim.handedOver, handedOverRecord{record: record, successor: to, expires: r.sim.now.Add(record.Remaining)})
	}
}

// Finish checks what must hold once all is in order again.
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

// checkRecords checks that no router would replay the answer of another key.
func (sim *Simulation) checkRecords(op *Operation) {
	for _, r := range sim.Routers {
		if !r.alive {
			continue
		}
		d := r.ledger.Begin(r.now(), requestkey.Request{ID: op.keyID(), Digest: op.keyDigest(), Forwarded: true})
		if d.Action == requestkey.Replay && !sim.isAnswerOf(op, string(d.Answer.Body)) {
			sim.fail("%s records the answer %q for operation %d", r.member.Name, d.Answer.Body, op.Number)
		}
	}
}

// isAnswerOf returns whether a body is the answer of a run of the operation.
func (sim *Simulation) isAnswerOf(op *Operation, body string) bool {
	return slices.ContainsFunc(sim.runs[op], func(run *TargetRun) bool { return run.body == body })
}

// checkHandedOver checks that a successor knows a key that was handed over.
func (sim *Simulation) checkHandedOver(h handedOverRecord) {
	if !h.successor.alive || !sim.now.Before(h.expires) {
		return
	}
	d := h.successor.ledger.Begin(h.successor.now(), requestkey.Request{ID: h.record.ID, Digest: h.record.Digest, Forwarded: true})
	replay := h.record.Answer != nil
	if replay && d.Action != requestkey.Replay || !replay && d.Action != requestkey.Refuse {
		sim.fail("%s does not know key %q that was handed over", h.successor.member.Name, h.record.ID.Key)
	}
}
