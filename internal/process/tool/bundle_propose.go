package tool

import (
	"context"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) bundlePropose() *cobra.Command {
	var flags changeFlags
	command := &cobra.Command{
		Use:   "propose FILE",
		Short: "Claim the bundle's version number for its content",
		Args:  cobra.ExactArgs(1),
		RunE: run(func(ctx context.Context, args []string) error {
			return t.propose(ctx, flags, args[0])
		}),
	}
	flags.register(command)
	return command
}

func (t *tool) propose(ctx context.Context, flags changeFlags, file string) error {
	key, err := loadKey(flags.key)
	if err != nil {
		return err
	}
	f, err := loadBundle(file)
	if err != nil {
		return err
	}
	return t.send(ctx, flags, key, control.Command{
		Action:   control.Propose,
		Version:  f.bundle.Version,
		Digest:   f.digest,
		Document: f.text,
	})
}
