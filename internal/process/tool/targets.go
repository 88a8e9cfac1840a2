package tool

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) listTargets() *cobra.Command {
	return &cobra.Command{
		Use:   "targets",
		Short: "List the targets that the host knows",
		Args:  cobra.NoArgs,
		RunE: run(func(ctx context.Context, _ []string) error {
			targets := []wire.TargetStatus{}
			if err := t.get(ctx, wire.PathTargets, &targets); err != nil {
				return err
			}
			return t.print(targets, func(w io.Writer) {
				row(w, "TARGET", "DOMAIN", "RACK", "WORKER", "ADDRESS", "STATE", "BUSY", "SLOTS", "LEASE LEFT")
				for _, s := range targets {
					row(w, s.Target, s.Domain, s.Rack, s.Worker, s.Address, targetState(s),
						s.RunningTasks, s.Slots, fmt.Sprintf("%d ms", max(0, s.LeaseRemainingMS)))
				}
			})
		}),
	}
}

func targetState(s wire.TargetStatus) string {
	switch {
	case !s.Alive:
		return "lost"
	case s.Leaving:
		return "leaving"
	case s.State != "" && s.State != "in use":
		return s.State
	}
	return "alive"
}
