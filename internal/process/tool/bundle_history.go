package tool

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) newBundleHistoryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the versions, the newest first",
		Args:  cobra.NoArgs,
		RunE: runE(func(ctx context.Context, _ []string) error {
			var h wire.History
			if err := t.get(ctx, wire.PathHistory, &h); err != nil {
				return err
			}
			return t.printDocument(h, func(w io.Writer) {
				writeFreshness(w, h.Freshness)
				writeVersions(w, h.Versions)
			})
		}),
	}
}
