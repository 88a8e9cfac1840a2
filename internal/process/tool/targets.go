package tool

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) newTargetsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "targets",
		Short: "List the targets that the host knows",
		Args:  cobra.NoArgs,
		RunE: runE(func(ctx context.Context, _ []string) error {
			targets := []wire.TargetStatus{}
			if err := t.get(ctx, wire.PathTargets, &targets); err != nil {
				return err
			}
			return t.printDocument(targets, func(w io.Writer) {
				writeRow(w, "TARGET", "DOMAIN", "RACK", "WORKER", "ADDRESS", "STATE", "BUSY", "SLOTS", "LEASE LEFT")
				for _, s := range targets {
					writeRow(w, s.Target, s.Domain, s.Rack, s.Worker, s.Address, targetState(s),
						s.RunningTasks, s.Slots, fmt.Sprintf("%d ms", max(0, s.LeaseRemainingMS)))
				}
			})
		}),
	}
}

func targetState(target wire.TargetStatus) string {
	switch {
	case !target.Alive:
		return "lost"
	case target.Leaving:
		return "leaving"
	case target.State != "" && target.State != "in use":
		return target.State
	}
	return "alive"
}
