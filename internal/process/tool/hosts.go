package tool

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) newHostsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "hosts",
		Short: "List the entry hosts",
		Args:  cobra.NoArgs,
		RunE: runE(func(ctx context.Context, _ []string) error {
			hosts := []wire.HostStatus{}
			if err := t.get(ctx, wire.PathHosts, &hosts); err != nil {
				return err
			}
			return t.printDocument(hosts, func(w io.Writer) {
				writeRow(w, "HOST", "DOMAIN", "REGION", "STATE", "HEARD", "CONTROL VERSION")
				for _, h := range hosts {
					writeRow(w, h.Host, h.Domain, h.Region, h.State, formatSinceLastMessage(h.SinceLastMessageMS), h.ControlVersion)
				}
			})
		}),
	}
}

func formatSinceLastMessage(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}
