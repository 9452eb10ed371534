package measure

import (
	"fmt"
	"io"
	"time"
)

// plannedFleet is the part of the planned fleet in one of its two regions.
var plannedFleet = Fleet{Routers: 165, Pools: 27, Targets: 330, Workspaces: 350, Window: 2 * time.Millisecond}

// hotLoadFraction is the Fleet.HotLoad of the cases with a hot model.
const hotLoadFraction = 1.0 / 3

// contendedTargetSlots is the number of slots of a target with which demands wait.
const contendedTargetSlots = 80

// idleTargetSlots is the number of slots of a target with which spare slots are handed out.
const idleTargetSlots = 200

// TrafficTables prints the control traffic of scheduling by size, window, load, workspaces
// and targets. Each row has the median and the range over the seeds.
func TrafficTables(w io.Writer, seeds uint64) {
	sizes := []int{6, 24, 96, 165, 330}
	t := newTrafficTable(w, "Routers of one region, 27 pools, 2 targets each, 350 workspaces, window 2 ms, slots 82% in use")
	var routerCounts, totals []float64
	for _, n := range sizes {
		f := plannedFleet
		f.Routers, f.Targets = n, 2*n
		total := t.row(fmt.Sprintf("%d routers", n), f, seeds)
		routerCounts, totals = append(routerCounts, float64(n)), append(totals, total)
	}
	t.flush()
	slope, offset := linearFit(routerCounts, totals)
	fmt.Fprintf(w, "fit: entry B/s = %.0f + %.2f * routers\n", offset, slope)

	t = newTrafficTable(w, "Window, 165 routers")
	for _, window := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, 250 * time.Millisecond} {
		f := plannedFleet
		f.Window = window
		t.row(window.String(), f, seeds)
	}
	t.flush()

	t = newTrafficTable(w, "Load and capacity, 165 routers")
	contended := plannedFleet
	contended.Slots = contendedTargetSlots
	t.row("demands wait", contended, seeds)
	idle := plannedFleet
	idle.Slots = idleTargetSlots
	t.row("slots 41% in use", idle, seeds)
	hot := plannedFleet
	hot.HotLoad = hotLoadFraction
	t.row("hot model, a third of the load", hot, seeds)
	few := plannedFleet
	few.Pools = 3
	t.row("3 pools", few, seeds)
	single := plannedFleet
	single.Pools = 1
	t.row("1 pool", single, seeds)
	t.flush()

	t = newTrafficTable(w, "Workspaces, 96 routers")
	for _, n := range []int{16, 350, 3500} {
		f := plannedFleet
		f.Routers, f.Targets, f.Workspaces = 96, 192, n
		t.row(fmt.Sprintf("%d workspaces", n), f, seeds)
	}
	t.flush()

	t = newTrafficTable(w, "Targets, 96 routers, the same slots in all")
	for _, n := range []int{64, 192, 576} {
		f := plannedFleet
		f.Routers, f.Targets, f.Slots = 96, n, engineSlots*192/n
		t.row(fmt.Sprintf("%d targets", n), f, seeds)
	}
	t.flush()
}

// trafficTable prints a fleet's traffic in each row.
type trafficTable struct{ *table }

// newTrafficTable prints the title and the column headings.
func newTrafficTable(w io.Writer, title string) trafficTable {
	return trafficTable{newTable(w, title, "case", "entry payload, B/s", "entry headers, B/s", "entry, B/s", "of it heartbeats, 1/s",
		"B/request", "holder of pool 0, B/s", "holder of another, B/s", "counters, B/s", "reports, grants, spares/request")}
}

// row prints the traffic of a fleet. It returns the median of the bytes that an entry sends
// and receives in a second.
func (t trafficTable) row(name string, f Fleet, seeds uint64) float64 {
	var payload, headers, total, heartbeats, request, holder, other, counters, reports, grants, spares samples
	for seed := uint64(1); seed <= seeds; seed++ {
		m := MeasureTraffic(f, seed)
		payload = append(payload, m.Entry.Payload)
		headers = append(headers, m.Entry.Headers)
		total = append(total, m.Entry.Total())
		heartbeats = append(heartbeats, m.Entry.Heartbeats)
		request = append(request, m.PerRequest.Total())
		holder = append(holder, m.Holder.Total())
		other = append(other, m.Other.Total())
		counters = append(counters, m.Counters)
		reports = append(reports, m.Reports)
		grants = append(grants, m.Grants)
		spares = append(spares, m.SpareUses)
	}
	t.table.row(name, payload.spread("%.0f"), headers.spread("%.0f"), total.spread("%.0f"), heartbeats.spread("%.0f"),
		request.spread("%.0f"), holder.spread("%.0f"), other.spread("%.0f"), counters.spread("%.0f"),
		fmt.Sprintf("%.2f, %.2f, %.2f", reports.median(), grants.median(), spares.median()))
	return total.median()
}
