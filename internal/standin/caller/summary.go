package caller

import (
	"fmt"
	"io"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// PrintTimes writes the response times of the complete jobs beside their
// ideals.
func PrintTimes(out io.Writer, runs []Run) {
	var took, ideal, over []time.Duration
	for _, r := range runs {
		if r.Answer.Outcome != job.Complete {
			continue
		}
		took = append(took, r.Elapsed)
		ideal = append(ideal, r.Ideal)
		over = append(over, r.Elapsed-r.Ideal)
	}
	printTimes(out, "response time", took)
	printTimes(out, "ideal", ideal)
	printTimes(out, "above the ideal", over)
}

func printTimes(out io.Writer, name string, times []time.Duration) {
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

// quantile returns the percent quantile of sorted times.
func quantile(times []time.Duration, percent int) time.Duration {
	return times[(len(times)-1)*percent/100]
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
