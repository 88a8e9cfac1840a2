package tool

import (
	"context"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) newBundleWithdrawCommand() *cobra.Command {
	var flags changeFlags
	command := &cobra.Command{
		Use:   "withdraw VERSION",
		Short: "End a proposal that is not in force",
		Args:  cobra.ExactArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
			return t.sendVersionCommand(ctx, flags, control.Withdraw, args[0])
		}),
	}
	flags.register(command)
	return command
}
