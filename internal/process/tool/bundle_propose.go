package tool

import (
	"context"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) newBundleProposeCommand() *cobra.Command {
	var flags changeFlags
	command := &cobra.Command{
		Use:   "propose FILE",
		Short: "Claim the bundle's version number for its content",
		Args:  cobra.ExactArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
			return t.propose(ctx, flags, args[0])
		}),
	}
	flags.register(command)
	return command
}

func (t *tool) propose(ctx context.Context, flags changeFlags, file string) error {
	key, err := loadKey(flags.keyFile)
	if err != nil {
		return err
	}
	loaded, err := loadBundle(file)
	if err != nil {
		return err
	}
	return t.sendCommand(ctx, flags, key, control.Command{
		Action:   control.Propose,
		Version:  loaded.bundle.Version,
		Digest:   loaded.digest,
		Document: loaded.text,
	})
}
