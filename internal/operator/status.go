package operator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// firstRefusalCode is the lowest result code of a request that failed.
	firstRefusalCode = int(v1.Code_BAD_REQUEST)
	// shownDigestDigits is how many digits of a configuration's digest the table of routers
	// shows.
	shownDigestDigits = 8
	columnPadding     = 2
)

// table writes rows of aligned columns. Flush ends it.
type table struct {
	*tabwriter.Writer
}

// newTable starts a table on w with a line of column names.
func newTable(w io.Writer, columns ...string) table {
	t := table{tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
	fmt.Fprintln(t, strings.Join(columns, "\t"))
	return t
}

// row adds a line of cells.
func (t table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, cell := range cells {
		text[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(t, strings.Join(text, "\t"))
}

// PrintStatus prints tables of routers, pools, targets and refusals.
func PrintStatus(w io.Writer, fleet Fleet) error {
	var out bytes.Buffer
	printRouters(&out, fleet)
	printPools(&out, fleet)
	printTargets(&out, fleet)
	printRefusals(&out, fleet)
	_, err := w.Write(out.Bytes())
	return err
}

func printRouters(w io.Writer, fleet Fleet) {
	t := newTable(w, "ROUTER", "ZONE", "STATE", "REVISION", "DIGEST", "REJECTED", "PEERS", "OPEN", "UPTIME")
	for _, r := range fleet.Routers {
		digest := r.ConfigDigest[:min(len(r.ConfigDigest), shownDigestDigits)]
		uptime := (time.Duration(r.UptimeMs) * time.Millisecond).Truncate(time.Second)
		t.row(r.Router, r.Zone, routerState(r), r.ConfigRevision, orDash(digest), rejectedConfiguration(r), len(r.Peers), r.OpenRequests, uptime)
	}
	t.Flush()
	for _, u := range fleet.Unreachable {
		state := "unreachable"
		if u.Router.Leaving {
			state = "leaving, unreachable"
		}
		fmt.Fprintf(w, "%s: %s: %v\n", u.Router.Address, state, u.Err)
	}
}

func routerState(r *v1.RouterStatus) string {
	switch {
	case r.Stopping:
		return "stopping"
	case r.Ready:
		return "ready"
	}
	return "not ready"
}

// rejectedConfiguration returns the revision of the configuration that the router rejected and
// why, "-" if there is none.
func rejectedConfiguration(r *v1.RouterStatus) string {
	if r.RejectedRevision == 0 {
		return "-"
	}
	return fmt.Sprintf("%d: %s", r.RejectedRevision, r.RejectedReason)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// scheduledPool is the status of a pool's shard, as reported by the router that schedules it.
type scheduledPool struct {
	*v1.PoolStatus
	scheduler string
}

// name returns the name of the pool, with the shard if the pool has several.
func (p scheduledPool) name() string {
	return config.Shard{Pool: p.Pool, Index: int(p.Shard), Count: int(p.Shards)}.String()
}

// scheduledPools returns the shards of all pools, sorted by pool, region, shard and scheduler.
// While routers disagree on who schedules a shard, it appears once for each of them.
func scheduledPools(fleet Fleet) []scheduledPool {
	var pools []scheduledPool
	for _, r := range fleet.Routers {
		for _, p := range r.Pools {
			pools = append(pools, scheduledPool{PoolStatus: p, scheduler: r.Router})
		}
	}
	slices.SortStableFunc(pools, func(a, b scheduledPool) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Region, b.Region),
			cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.scheduler, b.scheduler))
	})
	return pools
}

func printPools(w io.Writer, fleet Fleet) {
	fmt.Fprintln(w)
	t := newTable(w, "POOL", "REGION", "SCHEDULER", "QUEUED", "BUSY", "SLOTS", "SPARE", "GRANTED", "REFUSED")
	for _, p := range scheduledPools(fleet) {
		var busy, slots uint64
		for _, target := range p.Targets {
			busy += uint64(target.Busy)
			slots += uint64(target.Slots)
		}
		t.row(p.name(), orDash(p.Region), p.scheduler, p.Queued, busy, slots, p.SpareSlots, p.Granted, p.Refused)
	}
	t.Flush()
}

func printTargets(w io.Writer, fleet Fleet) {
	fmt.Fprintln(w)
	t := newTable(w, "TARGET", "POOL", "SCHEDULER", "BUSY", "SLOTS", "STATE")
	for _, p := range scheduledPools(fleet) {
		for _, target := range p.Targets {
			t.row(target.Target, p.name(), p.scheduler, target.Busy, target.Slots, targetState(target))
		}
	}
	t.Flush()
}

func targetState(t *v1.TargetStatus) string {
	switch {
	case t.Down && t.Leaving:
		return "down, leaving"
	case t.Down:
		return "down"
	case t.Leaving:
		return "leaving"
	}
	return "up"
}

// Refusals sums, over all routers, the failed requests of each result code. The result is
// sorted by code.
func Refusals(fleet Fleet) []*v1.CodeCount {
	sums := map[uint32]*v1.CodeCount{}
	for _, r := range fleet.Routers {
		for _, result := range r.Results {
			if int(result.Code) < firstRefusalCode || result.Count == 0 {
				continue
			}
			if sums[result.Code] == nil {
				sums[result.Code] = &v1.CodeCount{Code: result.Code, Name: result.Name}
			}
			sums[result.Code].Count += result.Count
		}
	}
	out := make([]*v1.CodeCount, 0, len(sums))
	for _, sum := range sums {
		out = append(out, sum)
	}
	slices.SortFunc(out, func(a, b *v1.CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return out
}

func printRefusals(w io.Writer, fleet Fleet) {
	fmt.Fprintln(w)
	t := newTable(w, "CODE", "REFUSAL", "COUNT")
	for _, sum := range Refusals(fleet) {
		t.row(sum.Code, sum.Name, sum.Count)
	}
	t.Flush()
}

// fleetJSON is the JSON object that PrintStatusJSON prints.
type fleetJSON struct {
	Routers     []json.RawMessage `json:"routers"`
	Unreachable []unreachableJSON `json:"unreachable"`
}

// unreachableJSON is an Unreachable in a fleetJSON.
type unreachableJSON struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	Error   string `json:"error"`
}

// PrintStatusJSON prints the statuses of all routers, and the unreachable routers, as one JSON
// object.
func PrintStatusJSON(w io.Writer, fleet Fleet) error {
	out := fleetJSON{Routers: []json.RawMessage{}, Unreachable: []unreachableJSON{}}
	for _, r := range fleet.Routers {
		status, err := protojson.Marshal(r)
		if err != nil {
			return err
		}
		out.Routers = append(out.Routers, status)
	}
	for _, u := range fleet.Unreachable {
		out.Unreachable = append(out.Unreachable, unreachableJSON{
			Address: u.Router.Address,
			Leaving: u.Router.Leaving,
			Error:   u.Err.Error(),
		})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", jsonIndent)
	return encoder.Encode(out)
}
