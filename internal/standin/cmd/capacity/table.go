package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"

	"wasabifield.example/wasabifield/internal/standin/measure"
)

// column is one cost of an entry host.
type column struct {
	name  string
	value func(measure.Cost) float64
}

var columns = []column{
	{"core, %", func(c measure.Cost) float64 { return 100 * c.Cores }},
	{"memory, MB", func(c measure.Cost) float64 { return c.RSS / 1e6 }},
	{"peer links, KB/s", func(c measure.Cost) float64 { return (c.PeerSent + c.PeerRecv) / 1e3 }},
	{"web links, KB/s", func(c measure.Cost) float64 { return (c.WebSent + c.WebRecv) / 1e3 }},
	{"of both, sent, KB/s", func(c measure.Cost) float64 { return (c.PeerSent + c.WebSent) / 1e3 }},
}

// table returns the points of an experiment and the fits through them.
func table(e experiment, points []point) string {
	var out strings.Builder
	fmt.Fprintf(&out, "### For each %s (`%s`)\n\n", e.per, e.name)
	out.WriteString("| size |")
	for _, c := range columns {
		fmt.Fprintf(&out, " %s |", c.name)
	}
	out.WriteString(" jobs complete, or changes |\n| ---: |" + strings.Repeat(" ---: |", len(columns)+1) + "\n")
	for _, p := range points {
		fmt.Fprintf(&out, "| %g |", p.size)
		for _, c := range columns {
			fmt.Fprintf(&out, " %.2f |", c.value(p.mean))
		}
		fmt.Fprintf(&out, " %s |\n", p.complete)
	}
	if len(points) >= 3 {
		out.WriteString(fits(e, points))
	}
	out.WriteString("\n")
	return out.String()
}

// fits returns the rows of the slopes, and of the extrapolation to the size
// that is asked for.
func fits(e experiment, points []point) string {
	xs := make([]float64, len(points))
	for i, p := range points {
		xs[i] = p.size
	}
	rows := []string{"| **each more** |", "| standard error |", "| worst point |", "| at size 0 |"}
	most := xs[len(xs)-1]
	if e.target > 0 {
		rows = append(rows, fmt.Sprintf("| **at %g%s** |", e.target, factor(e.target, most)))
	}
	for _, c := range columns {
		ys := make([]float64, len(points))
		for i, p := range points {
			ys[i] = c.value(p.mean)
		}
		f := measure.NewFit(xs, ys)
		rows[0] += fmt.Sprintf(" %.4g |", f.Slope)
		rows[1] += fmt.Sprintf(" %.2g |", f.Error)
		rows[2] += fmt.Sprintf(" %.0f%% |", 100*f.Worst)
		rows[3] += fmt.Sprintf(" %.2f |", f.Base)
		if e.target > 0 {
			rows[4] += fmt.Sprintf(" %.2f |", f.At(e.target))
		}
	}
	return strings.Join(rows, " |\n") + " |\n"
}

// factor marks an extrapolation.
func factor(target, most float64) string {
	if target <= most {
		return ""
	}
	return fmt.Sprintf(", extrapolated %.1f times", target/most)
}

// machine states what the measurements were made on.
func machine() string {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		load = []byte("unknown")
	}
	first, _, _ := strings.Cut(string(load), " ")
	return fmt.Sprintf("Measured on one machine of %d processors, all processes together; load average at the begin %s.",
		runtime.NumCPU(), first)
}
