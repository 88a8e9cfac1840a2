package tool

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) bundleHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the versions, the newest first",
		Args:  cobra.NoArgs,
		RunE: run(func(ctx context.Context, _ []string) error {
			var h wire.History
			if err := t.get(ctx, wire.PathHistory, &h); err != nil {
				return err
			}
			return t.print(h, func(w io.Writer) {
				reading(w, h.Freshness)
				writeVersions(w, h.Versions)
			})
		}),
	}
}
