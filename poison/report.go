package poison

import (
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// lossReports is the number of reports that repeat a loss, and proofReports that of a proof, in
	// case some of them are dropped.
	lossReports  = 3
	proofReports = 2
	// proofReportInterval is the time after which another proof of a part is reported.
	proofReportInterval = 300 * time.Millisecond
	// maxReportLosses and maxReportProofs limit the losses and proofs in one report, so that it fits
	// into a datagram.
	maxReportLosses = 40
	maxReportProofs = 40
)

// FillReport adds new losses and proofs to a report for other routers.
func (t *Tracker) FillReport(now time.Time, r *v1.LoadReport) {
	for digest := range t.lossesDue {
		if len(r.Lost) < maxReportLosses {
			countDown(t.lossesDue, digest)
			r.Lost = append(r.Lost, t.losses[digest].message(now, digest))
		}
	}
	for part := range t.proofsDue {
		if len(r.Proven) < maxReportProofs {
			countDown(t.proofsDue, part)
			if p, ok := t.proofs[part]; ok {
				r.Proven = append(r.Proven, &v1.ProvenPart{Part: part, AgeMs: age(now, p.at)})
			}
		}
	}
}

// age returns the time since at in milliseconds.
func age(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

// countDown subtracts 1 from an entry and removes it at 0.
func countDown(due map[uint64]int, key uint64) {
	due[key]--
	if due[key] == 0 {
		delete(due, key)
	}
}

func (l *lostRequest) message(now time.Time, digest uint64) *v1.LostRequest {
	m := &v1.LostRequest{Digest: digest, Parts: l.parts, AgeMs: age(now, l.last), Begun: l.begun}
	for target := range l.targets {
		m.Targets = append(m.Targets, target)
	}
	return m
}

// Losses returns the losses that tell a router that starts what crashes targets, in groups that fit
// into a report.
func (t *Tracker) Losses(now time.Time) [][]*v1.LostRequest {
	var all []*v1.LostRequest
	for digest, l := range t.losses {
		lifetime := lossLifetime
		if len(l.parts) == 0 {
			lifetime = requestLifetime
		}
		if now.Sub(l.last) < lifetime && (t.explainedBy(l.parts) || t.unexplained(l) > 0) {
			all = append(all, l.message(now, digest))
		}
	}
	return slices.Collect(slices.Chunk(all, maxReportLosses))
}

// Proofs returns the proofs of parts of lost requests, for a router that is told of the losses, in groups that
// fit into a report.
func (t *Tracker) Proofs(now time.Time) [][]*v1.ProvenPart {
	var all []*v1.ProvenPart
	for part := range t.lostWith {
		if p, ok := t.proofs[part]; ok && now.Sub(p.at) < proofLifetime {
			all = append(all, &v1.ProvenPart{Part: part, AgeMs: age(now, p.at)})
		}
	}
	return slices.Collect(slices.Chunk(all, maxReportProofs))
}

// MergeReport records the losses and proofs in another router's report.
func (t *Tracker) MergeReport(now time.Time, r *v1.LoadReport) {
	for _, l := range r.Lost {
		t.recordLoss(before(now, l.AgeMs), Loss{Request: l.Digest, Parts: l.Parts, Begun: l.Begun, Targets: l.Targets})
	}
	for _, p := range r.Proven {
		t.prove(before(now, p.AgeMs), p.Part)
	}
}

// before returns the time ageMs milliseconds before now.
func before(now time.Time, ageMs uint32) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}
