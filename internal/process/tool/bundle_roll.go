package tool

import (
	"context"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) bundleRoll() *cobra.Command {
	var flags changeFlags
	command := &cobra.Command{
		Use:   "roll VERSION",
		Short: "Accept an approved version and bring it into force everywhere",
		Args:  cobra.ExactArgs(1),
		RunE: run(func(ctx context.Context, args []string) error {
			return t.sendByNumber(ctx, flags, control.Roll, args[0])
		}),
	}
	flags.register(command)
	return command
}

// sendByNumber sends a command about a version that the hosts hold.
func (t *tool) sendByNumber(ctx context.Context, flags changeFlags, action control.Action, version string) error {
	number, err := parseVersion(version)
	if err != nil {
		return err
	}
	key, err := loadKey(flags.key)
	if err != nil {
		return err
	}
	digest, err := t.digestOf(ctx, number)
	if err != nil {
		return err
	}
	return t.send(ctx, flags, key, control.Command{Action: action, Version: number, Digest: digest})
}
