package tool

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) audit() *cobra.Command {
	var from uint64
	command := &cobra.Command{
		Use:   "audit",
		Short: "Show the audit trail",
		Args:  cobra.NoArgs,
		RunE: run(func(ctx context.Context, _ []string) error {
			page, err := t.trail(ctx, from)
			if err != nil {
				return err
			}
			return t.print(page, func(w io.Writer) {
				reading(w, page.Freshness)
				writeEntries(w, page.Entries)
			})
		}),
	}
	command.Flags().Uint64Var(&from, "from", 1, "first entry to show")
	command.AddCommand(t.auditVerify())
	return command
}

// trail reads the audit trail from an entry on up to the entry that was its
// last when the reading began.
func (t *tool) trail(ctx context.Context, from uint64) (wire.AuditPage, error) {
	whole := wire.AuditPage{Entries: []control.Entry{}}
	for {
		var page wire.AuditPage
		if err := t.get(ctx, fmt.Sprintf("%s?from=%d", wire.PathAudit, from), &page); err != nil {
			return whole, err
		}
		if whole.Head == (control.Head{}) {
			whole.Freshness, whole.Head = page.Freshness, page.Head
		}
		for _, e := range page.Entries {
			if e.Index <= whole.Head.Index {
				whole.Entries = append(whole.Entries, e)
			}
			from = max(from, e.Index+1)
		}
		if len(page.Entries) == 0 || from > whole.Head.Index {
			return whole, nil
		}
	}
}

func writeEntries(w io.Writer, entries []control.Entry) {
	row(w, "ENTRY", "TIME", "OPERATOR", "COMMAND", "VERSION", "IN FORCE BEFORE", "AFTER", "ANSWER", "REASON")
	for _, e := range entries {
		answer := e.Answer.Message
		if !e.Answer.Done() {
			answer = "refused: " + answer
		}
		row(w, e.Index, instant(e.Time), e.Operator, e.Command.Action, e.Command.Version,
			e.Before.Accepted, e.After.Accepted, answer, e.Command.Reason)
	}
}
