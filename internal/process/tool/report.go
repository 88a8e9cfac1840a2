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

// period is what a report covers.
type period struct {
	length time.Duration
	to     string // RFC 3339; empty means now
	all    bool   // add up all hosts
}

func (t *tool) report() *cobra.Command {
	var p period
	command := &cobra.Command{
		Use:   "report",
		Short: "Account for a period in plain words",
		Args:  cobra.NoArgs,
		RunE: run(func(ctx context.Context, _ []string) error {
			r, err := t.readReport(ctx, p)
			if err != nil {
				return err
			}
			return t.print(r, func(w io.Writer) { writeReport(w, r) })
		}),
	}
	command.Flags().DurationVar(&p.length, "period", defaultPeriod, "length of the period")
	command.Flags().StringVar(&p.to, "to", "", "end of the period, such as 2026-01-02T15:04:05Z (default now)")
	command.Flags().BoolVar(&p.all, "all", false, "add up the accounts of every --host; all of them must answer")
	return command
}

// readReport reads the account of the first host that answers, or of all.
func (t *tool) readReport(ctx context.Context, p period) (report.Report, error) {
	path, err := p.path(time.Now())
	if err != nil {
		return report.Report{}, err
	}
	var first report.Report
	if !p.all || len(t.hosts) < 2 {
		err := t.get(ctx, path, &first)
		return first, err
	}
	for i, host := range t.hosts {
		var r report.Report
		if err := t.clientOf(host).Get(ctx, path, &r); err != nil {
			return r, err
		}
		if i == 0 {
			first = r
			continue
		}
		first = first.Merge(r)
	}
	return first, nil
}

func (p period) path(now time.Time) (string, error) {
	to := now
	if p.to != "" {
		var err error
		if to, err = time.Parse(time.RFC3339, p.to); err != nil {
			return "", usageError{fmt.Errorf("--to is %q, must be a time such as 2026-01-02T15:04:05Z", p.to)}
		}
	}
	if p.length <= 0 {
		return "", usageError{fmt.Errorf("--period is %s, must be more than 0", p.length)}
	}
	query := url.Values{
		"from": {to.Add(-p.length).UTC().Format(time.RFC3339)},
		"to":   {to.UTC().Format(time.RFC3339)},
	}
	return wire.PathReport + "?" + query.Encode(), nil
}

func writeReport(w io.Writer, r report.Report) {
	line(w, "What the service did from %s to %s (UTC)", instant(r.From), instant(r.To))
	line(w, "Counted by: %s", strings.Join(r.Hosts, ", "))
	if r.CountingSince.After(r.From) {
		line(w, "Note: counting began at %s; what came before is not included.", instant(r.CountingSince))
	}
	line(w, "")
	line(w, "Answered complete: %d", r.Complete)
	writeCounts(w, "Marked as failed", r.Failed)
	writeCounts(w, "Refused, and nothing of them was done", r.NotRun)
	line(w, "")
	line(w, "Rules in force:")
	if len(r.Bundles) == 0 {
		line(w, "  none yet")
	}
	for _, b := range r.Bundles {
		line(w, "  version %d on %s since %s", b.Version, b.Host, instant(b.Since))
	}
}

func writeCounts(w io.Writer, title string, counts []report.Count) {
	line(w, "%s: %d", title, report.Total(counts))
	for _, c := range counts {
		line(w, "  %d: %s", c.Jobs, report.Description(c.Kind))
	}
}
