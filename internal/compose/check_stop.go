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
		r.w.fail("%s hands over %d of %d keys", r.member.Name, records, known)
	}
}

// handedOver is a record that a successor has accepted.
type handedOver struct {
	record requestkey.Record
	to     *Router
	until  time.Time
}

// checkHandOver notes what a successor has accepted. While all can talk it must
// accept.
func (r *Router) checkHandOver(h requestkey.HandOver, accepted bool) {
	to := r.w.peer(h.To)
	if !accepted {
		if r.w.now.Sub(r.w.troubleAt) > calmTime && !to.stopping {
			r.w.fail("%s did not accept the keys of %s", h.To, r.member.Name)
		}
		return
	}
	for _, record := range h.Records {
		r.w.Stats.HandOvers++
		r.w.handed = append(r.w.handed, handedOver{record: record, to: to, until: r.w.now.Add(record.Remaining)})
	}
}

// Finish checks what must hold once all is in order again.
func (w *World) Finish() {
	for _, c := range w.calls {
		if c.Final == nil {
			w.fail("operation %d has no final answer", c.op.Number)
		}
	}
	for _, h := range w.handed {
		w.checkHanded(h)
	}
	for _, c := range w.calls {
		if c.op.Key != "" {
			w.checkRecords(c.op)
		}
	}
}

// checkRecords checks that no router would replay the answer of another key.
func (w *World) checkRecords(op *Operation) {
	for _, r := range w.Routers {
		if !r.alive {
			continue
		}
		d := r.ledger.Begin(r.now(), requestkey.Request{ID: op.id(), Digest: op.keyDigest(), Forwarded: true})
		if d.Action == requestkey.Replay && !w.own(op, string(d.Answer.Body)) {
			w.fail("%s records the answer %q for operation %d", r.member.Name, d.Answer.Body, op.Number)
		}
	}
}

// own returns whether a body is the answer of a run of the operation.
func (w *World) own(op *Operation, body string) bool {
	return slices.ContainsFunc(w.runs[op], func(run *Execution) bool { return run.body == body })
}

// checkHanded checks that a successor knows a key that was handed over.
func (w *World) checkHanded(h handedOver) {
	if !h.to.alive || !w.now.Before(h.until) {
		return
	}
	d := h.to.ledger.Begin(h.to.now(), requestkey.Request{ID: h.record.ID, Digest: h.record.Digest, Forwarded: true})
	replay := h.record.Answer != nil
	if replay && d.Action != requestkey.Replay || !replay && d.Action != requestkey.Refuse {
		w.fail("%s does not know key %q that was handed over", h.to.member.Name, h.record.ID.Key)
	}
}
