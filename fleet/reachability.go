package fleet

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// updateDown determines which members are silent. It starts from the result of the last Tick.
func (v *View) updateDown(now time.Time) {
	down := map[string]bool{}
	votes := v.countVotes(now)
	for _, name := range v.rings.names {
		if name != v.self.Name && v.isSilent(now, name, votes[name]) {
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

// isSilent reports whether a member is silent. votes is the number of routers that report it as
// silent.
func (v *View) isSilent(now time.Time, name string, votes int) bool {
	if p := v.peers[name]; p != nil {
		if p.answered(now, v.opts.SuspectAfter) {
			return false
		}
		if p.unanswered(now, v.opts.SuspectAfter, v.attemptResetAfter()) {
			return true
		}
	}
	if v.fullMesh() {
		return v.down[name]
	}
	return v.reportedSilent(name, votes)
}

// countVotes returns, for each reported member, how many routers report its known incarnation
// as silent.
func (v *View) countVotes(now time.Time) map[string]int {
	votes := map[string]int{}
	for reporter, report := range v.reports {
		if len(report.Silent) == 0 || !v.acceptsReportsFrom(now, reporter) {
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

// reportedSilent reports whether a member without recent contact is silent by the reports of
// others. A member that this router has just begun to watch keeps its last state.
func (v *View) reportedSilent(name string, votes int) bool {
	if votes >= WatcherQuorum {
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

// acceptsReportsFrom reports whether the reports of another router count. It must be a
// reachable member, since the last report of an unreachable one is no longer updated, and must
// have been reachable for long enough.
func (v *View) acceptsReportsFrom(now time.Time, reporter string) bool {
	if reporter == v.self.Name || !v.rings.contains(reporter) || v.down[reporter] {
		return false
	}
	return v.reachableLongEnough(now, reporter)
}

// reachableLongEnough reports whether a router has been reachable again for SuspectAfter. Until
// then its reports may describe the other side of a healed partition.
func (v *View) reachableLongEnough(now time.Time, name string) bool {
	p := v.peers[name]
	return p == nil || p.upSince.IsZero() || now.Sub(p.upSince) >= v.opts.SuspectAfter
}

// publishReport updates the router's own report, which lists the watched members that are
// silent.
func (v *View) publishReport(now time.Time) {
	report := &v1.SilenceReport{Reporter: v.self.Name, Incarnation: v.self.Incarnation, Version: 1}
	for _, name := range v.reportedMembers(now) {
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

// mergeReport stores the report of another router if it is newer than the known one.
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

// newerReport orders the reports of one router by incarnation, then by version.
func newerReport(a, b *v1.SilenceReport) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// fullMesh reports whether the fleet is small enough for each router to contact all others.
func (v *View) fullMesh() bool {
	return len(v.rings.names) <= v.opts.FullMeshMaxMembers
}

// reportedMembers returns the members whose silence the router reports. In a full mesh there
// are none, since each router has contacts of its own with all members.
func (v *View) reportedMembers(now time.Time) []string {
	if v.fullMesh() {
		return nil
	}
	return v.watched(now)
}
