package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// sentDirection is the direction of the control messages that a router sent.
const sentDirection = "sent"

// printRouters writes the control traffic of each router, and the control bytes sent by
// all of them for each answer.
func (r *Report) printRouters(w io.Writer) {
	if len(r.after) == 0 {
		fmt.Fprintln(w, "\nRouters: no status")
		return
	}
	fmt.Fprintln(w, "\nControl traffic of the routers over the whole run")
	table := newTable(w)
	fmt.Fprintln(table, "router\tzone\trevision\tdirection\tbytes\tbytes/s\tplatform calls\t")
	seconds := r.options.Duration.Seconds()
	sent := uint64(0)
	for _, admin := range slices.Sorted(maps.Keys(r.after)) {
		status, calls := r.after[admin], r.platformCalls(admin)
		traffic := r.controlTraffic(admin)
		sent += traffic[sentDirection]
		for _, direction := range slices.Sorted(maps.Keys(traffic)) {
			bytes := traffic[direction]
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%.0f\t%d\t\n", status.Router, status.Zone,
				status.ConfigRevision, direction, bytes, float64(bytes)/seconds, calls)
		}
	}
	table.Flush()
	if answers := r.answerCount(); answers > 0 {
		fmt.Fprintf(w, "control bytes sent per answer: %.0f, over %d answers\n", float64(sent)/float64(answers), answers)
	}
}

// platformCalls returns the number of calls of a router to the platform during the run.
func (r *Report) platformCalls(admin string) uint64 {
	return r.after[admin].GetPlatformCalls() - r.before[admin].GetPlatformCalls()
}

// controlTraffic returns the bytes of control traffic of a router during the run, by
// direction.
func (r *Report) controlTraffic(admin string) map[string]uint64 {
	traffic := controlBytes(r.after[admin])
	for direction, bytes := range controlBytes(r.before[admin]) {
		traffic[direction] -= bytes
	}
	return traffic
}

// answerCount returns the number of requests that ended, whatever their result.
func (r *Report) answerCount() int {
	total := 0
	for _, n := range r.recorder.results {
		total += n
	}
	return total
}
