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

// verifyResult is the document that audit verify prints.
type verifyResult struct {
	Entries int          `json:"entries"`
	Head    control.Head `json:"head"`
	Fault   string       `json:"fault,omitempty"`
}

func (t *tool) newAuditVerifyCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "verify",
		Short: "Check that no entry of the audit trail is missing or was edited",
		Args:  cobra.NoArgs,
		RunE: runE(func(ctx context.Context, _ []string) error {
			return t.verifyTrail(ctx, file)
		}),
	}
	command.Flags().StringVar(&file, "file", "", "check a trail saved with audit --output json")
	return command
}

func (t *tool) verifyTrail(ctx context.Context, file string) error {
	trail, err := t.loadTrail(ctx, file)
	if err != nil {
		return err
	}
	result := verifyResult{Entries: len(trail.Entries), Head: trail.Head}
	fault := control.VerifyTo(trail.Head, trail.Entries)
	if fault != nil {
		result.Fault = fault.Error()
	}
	err = t.printDocument(result, func(w io.Writer) {
		if fault == nil {
			writeLine(w, "The audit trail is whole: %d entries.", result.Entries)
		}
	})
	if fault != nil {
		return fmt.Errorf("the audit trail is NOT whole: %w", fault)
	}
	return err
}

// loadTrail reads the whole audit trail from a file, or from a host if file is empty.
func (t *tool) loadTrail(ctx context.Context, file string) (wire.AuditPage, error) {
	if file == "" {
		return t.readTrail(ctx, 1)
	}
	var trail wire.AuditPage
	text, err := os.ReadFile(file)
	if err != nil {
		return trail, usageError{err}
	}
	if err := json.Unmarshal(text, &trail); err != nil {
		return trail, usageError{fmt.Errorf("%s: is not an audit trail: %w", file, err)}
	}
	return trail, nil
}
