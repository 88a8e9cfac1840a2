package tool

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/report"
)

const defaultPeriod = 24 * time.Hour

// reportFlags are the flags that select the period and the hosts of a report.
type reportFlags struct {
	period   time.Duration
	to       string // RFC 3339; empty means now
	allHosts bool   // add up the reports of all hosts
}

func (t *tool) newReportCommand() *cobra.Command {
	var flags reportFlags
	command := &cobra.Command{
		Use:   "report",
		Short: "Summarize in plain words what the service did in a period",
		Args:  cobra.NoArgs,
		RunE: runE(func(ctx context.Context, _ []string) error {
			r, err := t.readReport(ctx, flags)
			if err != nil {
				return err
			}
			return t.printDocument(r, func(w io.Writer) { writeReport(w, r) })
		}),
	}
	command.Flags().DurationVar(&flags.period, "period", defaultPeriod, "length of the period")
	command.Flags().StringVar(&flags.to, "to", "", "end of the period, such as 2026-01-02T15:04:05Z (default now)")
	command.Flags().BoolVar(&flags.allHosts, "all", false, "add up the reports of every --host; all of them must answer")
	return command
}

// readReport reads the report of the first host that answers, or with allHosts the
// merged reports of all hosts, each of which must answer.
func (t *tool) readReport(ctx context.Context, flags reportFlags) (report.Report, error) {
	path, err := flags.requestPath(time.Now())
	if err != nil {
		return report.Report{}, err
	}
	var merged report.Report
	if !flags.allHosts || len(t.hosts) < 2 {
		err := t.get(ctx, path, &merged)
		return merged, err
	}
	for i, host := range t.hosts {
		var r report.Report
		if err := t.newClientFor(host).Get(ctx, path, &r); err != nil {
			return r, err
		}
		if i == 0 {
			merged = r
			continue
		}
		merged = merged.Merge(r)
	}
	return merged, nil
}

func (p reportFlags) requestPath(now time.Time) (string, error) {
	to := now
	if p.to != "" {
		var err error
		if to, err = time.Parse(time.RFC3339, p.to); err != nil {
			return "", usageError{fmt.Errorf("--to is %q, must be a time such as 2026-01-02T15:04:05Z", p.to)}
		}
	}
	if p.period <= 0 {
		return "", usageError{fmt.Errorf("--period is %s, must be more than 0", p.period)}
	}
	query := url.Values{
		"from": {to.Add(-p.period).UTC().Format(time.RFC3339)},
		"to":   {to.UTC().Format(time.RFC3339)},
	}
	return wire.PathReport + "?" + query.Encode(), nil
}

func writeReport(w io.Writer, r report.Report) {
	writeLine(w, "What the service did from %s to %s (UTC)", formatTime(r.From), formatTime(r.To))
	writeLine(w, "Counted by: %s", strings.Join(r.Hosts, ", "))
	if r.CountingSince.After(r.From) {
		writeLine(w, "Note: counting began at %s; what came before is not included.", formatTime(r.CountingSince))
	}
	writeLine(w, "")
	writeLine(w, "Answered complete: %d", r.Complete)
	writeCounts(w, "Marked as failed", r.Failed)
	writeCounts(w, "Refused, and nothing of them was done", r.NotRun)
	writeLine(w, "")
	writeLine(w, "Rules in force:")
	if len(r.Bundles) == 0 {
		writeLine(w, "  none yet")
	}
	for _, b := range r.Bundles {
		writeLine(w, "  version %d on %s since %s", b.Version, b.Host, formatTime(b.Since))
	}
}

func writeCounts(w io.Writer, title string, counts []report.Count) {
	writeLine(w, "%s: %d", title, report.Total(counts))
	for _, c := range counts {
		writeLine(w, "  %d: %s", c.Jobs, report.Description(c.Kind))
	}
}
