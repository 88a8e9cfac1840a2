package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) bundleReplace() *cobra.Command {
	var flags changeFlags
	var approvals []string
	command := &cobra.Command{
		Use:   "replace FILE",
		Short: "Propose, approve and roll a bundle in one step",
		Long: `Propose, approve and roll a bundle in one step. Where more than one approval is
needed, the other operators give theirs as files written by bundle sign.`,
		Args: cobra.ExactArgs(1),
		RunE: run(func(ctx context.Context, args []string) error {
			return t.replace(ctx, flags, args[0], approvals)
		}),
	}
	flags.register(command)
	command.Flags().StringSliceVar(&approvals, "approval", nil, "another operator's approval, as bundle sign prints it")
	return command
}

func (t *tool) replace(ctx context.Context, flags changeFlags, file string, approvalFiles []string) error {
	key, err := loadKey(flags.key)
	if err != nil {
		return err
	}
	f, err := loadBundle(file)
	if err != nil {
		return err
	}
	approvals := []control.Approval{control.NewApproval(key.name, key.key, f.bundle.Version, f.digest)}
	for _, name := range approvalFiles {
		approval, err := loadApproval(name)
		if err != nil {
			return err
		}
		approvals = append(approvals, approval)
	}
	return t.send(ctx, flags, key, control.Command{
		Action:    control.Replace,
		Version:   f.bundle.Version,
		Digest:    f.digest,
		Document:  f.text,
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
