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
	// firstRefusal is the least code of an answer that is no success.
	firstRefusal  = int(v1.Code_BAD_REQUEST)
	digestShown   = 8
	columnPadding = 2
)

// table prints aligned columns.
type table struct {
	*tabwriter.Writer
}

func newTable(w io.Writer, columns ...string) table {
	t := table{tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
	fmt.Fprintln(t, strings.Join(columns, "\t"))
	return t
}

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
		digest := r.ConfigDigest[:min(len(r.ConfigDigest), digestShown)]
		uptime := (time.Duration(r.UptimeMs) * time.Millisecond).Truncate(time.Second)
		t.row(r.Router, r.Zone, stateOf(r), r.ConfigRevision, orDash(digest), rejected(r), len(r.Peers), r.OpenRequests, uptime)
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

func stateOf(r *v1.RouterStatus) string {
	switch {
	case r.Stopping:
		return "stopping"
	case r.Ready:
		return "ready"
	}
	return "not ready"
}

func rejected(r *v1.RouterStatus) string {
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

// scheduledPool is a pool as the router that schedules it reports it.
type scheduledPool struct {
	*v1.PoolStatus
	scheduler string
}

// name returns the pool's name, with the shard if there are several.
func (p scheduledPool) name() string {
	return config.Shard{Pool: p.Pool, Index: int(p.Shard), Count: int(p.Shards)}.String()
}

// poolsOf returns the shards of the pools by name, region, index and scheduler.
// A shard is listed once for each router that believes it schedules it.
func poolsOf(fleet Fleet) []scheduledPool {
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
	for _, p := range poolsOf(fleet) {
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
	for _, p := range poolsOf(fleet) {
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

// Refusals sums the answers of each code that is no success, by code.
func Refusals(fleet Fleet) []*v1.CodeCount {
	sums := map[uint32]*v1.CodeCount{}
	for _, r := range fleet.Routers {
		for _, result := range r.Results {
			if int(result.Code) < firstRefusal || result.Count == 0 {
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

// fleetJSON is the form of a fleet as JSON.
type fleetJSON struct {
	Routers     []json.RawMessage `json:"routers"`
	Unreachable []unreachableJSON `json:"unreachable"`
}

type unreachableJSON struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	Error   string `json:"error"`
}

// PrintStatusJSON prints the status of all routers as one JSON object.
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
