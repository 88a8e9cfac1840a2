package tool

import (
	"context"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) newBundleRollCommand() *cobra.Command {
	var flags changeFlags
	command := &cobra.Command{
		Use:   "roll VERSION",
		Short: "Accept an approved version and bring it into force everywhere",
		Args:  cobra.ExactArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
			return t.sendVersionCommand(ctx, flags, control.Roll, args[0])
		}),
	}
	flags.register(command)
	return command
}

// sendVersionCommand sends a command about a version that the hosts know already.
func (t *tool) sendVersionCommand(ctx context.Context, flags changeFlags, action control.Action, version string) error {
	number, err := parseVersion(version)
	if err != nil {
		return err
	}
	key, err := loadKey(flags.keyFile)
	if err != nil {
		return err
	}
	digest, err := t.readDigest(ctx, number)
	if err != nil {
		return err
	}
	return t.sendCommand(ctx, flags, key, control.Command{Action: action, Version: number, Digest: digest})
}
