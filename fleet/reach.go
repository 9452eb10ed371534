package fleet

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// evaluate decides which members are silent, from the state of the last Tick.
func (v *View) evaluate(now time.Time) {
	down := map[string]bool{}
	votes := v.countVotes(now)
	for _, name := range v.rings.names {
		if name != v.self.Name && v.silent(now, name, votes[name]) {
			down[name] = true
		}
	}
	for _, name := range v.rings.names {
		if v.down[name] && !down[name] {
			v.peer(name).upSince = now
		}
	}
	v.down = down
}

func (v *View) silent(now time.Time, name string, votes int) bool {
	if p := v.peers[name]; p != nil {
		if p.answered(now, v.opts.SuspectAfter) {
			return false
		}
		if p.unanswered(now, v.opts.SuspectAfter, v.attemptMemory()) {
			return true
		}
	}
	if v.fullMesh() {
		return v.down[name]
	}
	return v.reportedSilent(name, votes)
}

// countVotes returns how many routers report the known incarnation of a member
// as silent. Members without a report are not in it.
func (v *View) countVotes(now time.Time) map[string]int {
	votes := map[string]int{}
	for reporter, report := range v.reports {
		if len(report.Silent) == 0 || !v.counts(now, reporter) {
			continue
		}
		for _, m := range report.Silent {
			if known := v.router(m.Instance); known != nil && known.Incarnation == m.Incarnation {
				votes[m.Instance]++
			}
		}
	}
	return votes
}

// reportedSilent judges a member without recent contact by the reports of
// others. A member that the router has just begun to watch stays what it was.
func (v *View) reportedSilent(name string, votes int) bool {
	if votes >= QuorumOfWatchers {
		return true
	}
	if votes == 0 && !v.down[name] {
		return false
	}
	watchers := v.rings.watchers(name, v.down)
	if votes > 0 && votes >= len(watchers) {
		return true
	}
	return v.down[name] && slices.Contains(watchers, v.self.Name)
}

// counts returns whether the reports of another router are listened to: those
// of reachable members, since others no longer update them.
func (v *View) counts(now time.Time, reporter string) bool {
	if reporter == v.self.Name || !v.rings.holds(reporter) || v.down[reporter] {
		return false
	}
	return v.settled(now, reporter)
}

// settled returns whether a router has been reachable long enough for its
// reports to describe this side of a partition.
func (v *View) settled(now time.Time, name string) bool {
	p := v.peers[name]
	return p == nil || p.upSince.IsZero() || now.Sub(p.upSince) >= v.opts.SuspectAfter
}

// report publishes the watched members that are silent.
func (v *View) report(now time.Time) {
	report := &v1.SilenceReport{Reporter: v.self.Name, Incarnation: v.self.Incarnation, Version: 1}
	for _, name := range v.reportable(now) {
		if v.down[name] {
			m := &v1.Leaving{Instance: name, Incarnation: v.router(name).Incarnation}
			report.Silent = append(report.Silent, m)
		}
	}
	last := v.reports[v.self.Name]
	if last == nil && len(report.Silent) == 0 {
		return
	}
	if last != nil {
		report.Version = last.Version
		if proto.Equal(last, report) {
			return
		}
		report.Version++
	}
	v.reports[v.self.Name] = report
	v.log.add(change{kind: changeReport, name: v.self.Name}, "")
}

// mergeReport takes over a report that is newer than the known one.
func (v *View) mergeReport(report *v1.SilenceReport, from string) {
	if report.Reporter == v.self.Name || v.router(report.Reporter) == nil {
		return
	}
	if last := v.reports[report.Reporter]; last != nil && !newerReport(report, last) {
		return
	}
	v.reports[report.Reporter] = report
	v.log.add(change{kind: changeReport, name: report.Reporter}, from)
}

func newerReport(a, b *v1.SilenceReport) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

func (v *View) fullMesh() bool {
	return len(v.rings.names) <= v.opts.FullMeshUpTo
}

// reportable returns the members whose silence the router reports: none in a
// full mesh, where each judges for itself.
func (v *View) reportable(now time.Time) []string {
	if v.fullMesh() {
		return nil
	}
	return v.watched(now)
}
