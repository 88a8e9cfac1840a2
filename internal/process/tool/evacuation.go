package tool

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) newEvacuationCommand() *cobra.Command {
	command := &cobra.Command{Use: "evacuation", Short: "Keep new work from the targets of a failure domain"}
	command.AddCommand(t.newEvacuationStartCommand(), t.newEvacuationWithdrawCommand(), t.newEvacuationListCommand())
	return command
}

func (t *tool) newEvacuationStartCommand() *cobra.Command {
	var flags changeFlags
	var force bool
	command := &cobra.Command{
		Use:   "start DOMAIN",
		Short: "Give the targets of a failure domain no new work until the evacuation is withdrawn",
		Long: `Give the targets of a failure domain no new work until the evacuation is withdrawn.
Running tasks end normally. Jobs of the domain's callers go to other domains.`,
		Args: cobra.ExactArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
			return t.sendEvacuation(ctx, flags, control.Command{Action: control.StartEvacuation, Domain: args[0], Force: force})
		}),
	}
	flags.register(command)
	command.Flags().BoolVar(&force, "force", false, "also evacuate the last domain that gets work")
	return command
}

func (t *tool) newEvacuationWithdrawCommand() *cobra.Command {
	var flags changeFlags
	command := &cobra.Command{
		Use:   "withdraw DOMAIN",
		Short: "Give the targets of a failure domain work again",
		Args:  cobra.ExactArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
			return t.sendEvacuation(ctx, flags, control.Command{Action: control.WithdrawEvacuation, Domain: args[0]})
		}),
	}
	flags.register(command)
	return command
}

func (t *tool) sendEvacuation(ctx context.Context, flags changeFlags, command control.Command) error {
	key, err := loadKey(flags.keyFile)
	if err != nil {
		return err
	}
	return t.sendCommand(ctx, flags, key, command)
}

func (t *tool) newEvacuationListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the evacuated failure domains",
		Args:  cobra.NoArgs,
		RunE: runE(func(ctx context.Context, _ []string) error {
			var e wire.Evacuations
			if err := t.get(ctx, wire.PathEvacuations, &e); err != nil {
				return err
			}
			return t.printDocument(e, func(w io.Writer) { writeEvacuations(w, e) })
		}),
	}
}

func writeEvacuations(w io.Writer, e wire.Evacuations) {
	writeFreshness(w, e.Freshness)
	if len(e.Evacuations) == 0 {
		writeLine(w, "No domain is evacuated.")
		return
	}
	writeRow(w, "DOMAIN", "SINCE")
	for _, evacuated := range e.Evacuations {
		writeRow(w, evacuated.Domain, formatTime(evacuated.Since))
	}
}
