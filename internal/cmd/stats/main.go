// Command stats prints the number of lines of hand-written Go code and tests in the module, by
// group of packages. Its argument is the root directory of the module, by default the working
// directory. Comments, blank lines and generated files do not count.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

const percent = 100

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	counts, err := countModule(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stats:", err)
		os.Exit(1)
	}
	report(os.Stdout, counts)
}

// report prints one row for each group and one for the whole module. The columns with percentages
// are the group's part of the module's code and the ratio of its tests to its code.
func report(w io.Writer, counts map[group]count) {
	total := count{}
	for _, c := range counts {
		total = total.plus(c)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "group\tcode\ttests\tcode %\ttests/code %\t")
	for _, g := range groups {
		row(t, g.String(), counts[g], total)
	}
	row(t, "all", total, total)
	t.Flush()
}

func row(w io.Writer, name string, c, total count) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t\n", name, c.code, c.tests, ratio(c.code, total.code), ratio(c.tests, c.code))
}

// ratio returns part in percent of whole, or 0 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return percent * float64(part) / float64(whole)
}
