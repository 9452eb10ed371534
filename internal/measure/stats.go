package measure

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// samples holds observations of one quantity.
type samples []float64

// quantile returns the smallest sample s such that at least the fraction q of the samples is
// at most s, or NaN if there are no samples.
func (s samples) quantile(q float64) float64 {
	if len(s) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(s))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

func (s samples) median() float64 { return s.quantile(0.5) }

// spread formats the median, the minimum and the maximum, each with the given format.
func (s samples) spread(format string) string {
	if len(s) == 0 {
		return "-"
	}
	return fmt.Sprintf(format+" ("+format+"-"+format+")", s.median(), slices.Min(s), slices.Max(s))
}

// table prints rows with aligned columns.
type table struct{ w *tabwriter.Writer }

// newTable prints the title and returns a table with the column headings as its first row.
func newTable(w io.Writer, title string, columns ...string) *table {
	fmt.Fprintf(w, "\n%s\n\n", title)
	t := &table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t *table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

// flush writes the rows. It is called after the last row.
func (t *table) flush() { t.w.Flush() }

// linearFit returns the least-squares line through the points.
func linearFit(x, y []float64) (slope, offset float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}
