package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/version/control"
)

// verification is what audit verify prints.
type verification struct {
	Entries int          `json:"entries"`
	Head    control.Head `json:"head"`
	Fault   string       `json:"fault,omitempty"`
}

func (t *tool) auditVerify() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "verify",
		Short: "Check that no entry of the audit trail is missing or was edited",
		Args:  cobra.NoArgs,
		RunE: run(func(ctx context.Context, _ []string) error {
			return t.verify(ctx, file)
		}),
	}
	command.Flags().StringVar(&file, "file", "", "check a trail saved with audit --output json")
	return command
}

func (t *tool) verify(ctx context.Context, file string) error {
	page, err := t.page(ctx, file)
	if err != nil {
		return err
	}
	result := verification{Entries: len(page.Entries), Head: page.Head}
	fault := control.VerifyTo(page.Head, page.Entries)
	if fault != nil {
		result.Fault = fault.Error()
	}
	err = t.print(result, func(w io.Writer) {
		if fault == nil {
			line(w, "The audit trail is whole: %d entries.", result.Entries)
		}
	})
	if fault != nil {
		return fmt.Errorf("the audit trail is NOT whole: %w", fault)
	}
	return err
}

// page reads the whole trail from a file, or from a host.
func (t *tool) page(ctx context.Context, file string) (wire.AuditPage, error) {
	if file == "" {
		return t.trail(ctx, 1)
	}
	var page wire.AuditPage
	text, err := os.ReadFile(file)
	if err != nil {
		return page, usageError{err}
	}
	if err := json.Unmarshal(text, &page); err != nil {
		return page, usageError{fmt.Errorf("%s: is not an audit trail: %w", file, err)}
	}
	return page, nil
}
