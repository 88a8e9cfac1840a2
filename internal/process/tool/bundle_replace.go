package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) newBundleReplaceCommand() *cobra.Command {
	var flags changeFlags
	var approvals []string
	command := &cobra.Command{
		Use:   "replace FILE",
		Short: "Propose, approve and roll a bundle in one step",
		Long: `Propose, approve and roll a bundle in one step. Where more than one approval is
needed, the other operators give theirs as files written by bundle sign.`,
		Args: cobra.ExactArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
			return t.replace(ctx, flags, args[0], approvals)
		}),
	}
	flags.register(command)
	command.Flags().StringSliceVar(&approvals, "approval", nil, "another operator's approval, as bundle sign prints it")
	return command
}

func (t *tool) replace(ctx context.Context, flags changeFlags, file string, approvalFiles []string) error {
	key, err := loadKey(flags.keyFile)
	if err != nil {
		return err
	}
	loaded, err := loadBundle(file)
	if err != nil {
		return err
	}
	approvals := []control.Approval{control.NewApproval(key.name, key.privateKey, loaded.bundle.Version, loaded.digest)}
	for _, approvalFile := range approvalFiles {
		approval, err := loadApproval(approvalFile)
		if err != nil {
			return err
		}
		approvals = append(approvals, approval)
	}
	return t.sendCommand(ctx, flags, key, control.Command{
		Action:    control.Replace,
		Version:   loaded.bundle.Version,
		Digest:    loaded.digest,
		Document:  loaded.text,
		Approvals: approvals,
	})
}

func loadApproval(file string) (control.Approval, error) {
	var approval control.Approval
	text, err := os.ReadFile(file)
	if err != nil {
		return approval, usageError{err}
	}
	if err := json.Unmarshal(text, &approval); err != nil {
		return approval, usageError{fmt.Errorf("%s: is not an approval: %w", file, err)}
	}
	return approval, nil
}
