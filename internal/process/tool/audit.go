package tool

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) newAuditCommand() *cobra.Command {
	var from uint64
	command := &cobra.Command{
		Use:   "audit",
		Short: "Show the audit trail",
		Args:  cobra.NoArgs,
		RunE: runE(func(ctx context.Context, _ []string) error {
			page, err := t.readTrail(ctx, from)
			if err != nil {
				return err
			}
			return t.printDocument(page, func(w io.Writer) {
				writeFreshness(w, page.Freshness)
				writeEntries(w, page.Entries)
			})
		}),
	}
	command.Flags().Uint64Var(&from, "from", 1, "first entry to show")
	command.AddCommand(t.newAuditVerifyCommand())
	return command
}

// readTrail reads the audit trail page by page, from the entry with index from to
// the head stated by the first page. Entries appended in the meantime are left out,
// so that the entries end at the returned head.
func (t *tool) readTrail(ctx context.Context, from uint64) (wire.AuditPage, error) {
	trail := wire.AuditPage{Entries: []control.Entry{}}
	for {
		var page wire.AuditPage
		if err := t.get(ctx, fmt.Sprintf("%s?from=%d", wire.PathAudit, from), &page); err != nil {
			return trail, err
		}
		if trail.Head == (control.Head{}) {
			trail.Freshness, trail.Head = page.Freshness, page.Head
		}
		for _, e := range page.Entries {
			if e.Index <= trail.Head.Index {
				trail.Entries = append(trail.Entries, e)
			}
			from = max(from, e.Index+1)
		}
		if len(page.Entries) == 0 || from > trail.Head.Index {
			return trail, nil
		}
	}
}

func writeEntries(w io.Writer, entries []control.Entry) {
	writeRow(w, "ENTRY", "TIME", "OPERATOR", "COMMAND", "VERSION", "IN FORCE BEFORE", "AFTER", "ANSWER", "REASON")
	for _, e := range entries {
		answer := e.Answer.Message
		if !e.Answer.Done() {
			answer = "refused: " + answer
		}
		var version any = e.Command.Version
		if e.Command.Version == 0 { // a command about a failure domain
			version = emptyCell
		}
		writeRow(w, e.Index, formatTime(e.Time), e.Operator, e.Command.Action, version,
			e.Before.Accepted, e.After.Accepted, answer, e.Command.Reason)
	}
}
