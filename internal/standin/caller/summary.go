package caller

import (
	"fmt"
	"io"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// PrintResponseTimes writes the distributions of the response times of complete jobs, of
// their ideal response times and of the differences.
func PrintResponseTimes(out io.Writer, runs []Run) {
	var elapsed, ideal, excess []time.Duration
	for _, r := range runs {
		if r.Answer.Outcome != job.Complete {
			continue
		}
		elapsed = append(elapsed, r.Elapsed)
		ideal = append(ideal, r.IdealTime)
		excess = append(excess, r.Elapsed-r.IdealTime)
	}
	printDistribution(out, "response time", elapsed)
	printDistribution(out, "ideal", ideal)
	printDistribution(out, "above the ideal", excess)
}

func printDistribution(out io.Writer, name string, times []time.Duration) {
	if len(times) == 0 {
		fmt.Fprintf(out, "%-19s no complete job\n", name)
		return
	}
	slices.Sort(times)
	var sum time.Duration
	for _, t := range times {
		sum += t
	}
	mean := sum / time.Duration(len(times))
	fmt.Fprintf(out, "%-19s mean %s, p50 %s, p99 %s\n", name, round(mean), round(quantile(times, 50)), round(quantile(times, 99)))
}

// quantile returns the quantile of the sorted times at the given percentage.
func quantile(times []time.Duration, percent int) time.Duration {
	return times[(len(times)-1)*percent/100]
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
