// Command bench measures the dispatcher beside its baselines in the same run:
// the computed ideal of a perfect central dispatcher, and the same tasks sent
// straight to the targets without an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var b bench
	c := &cobra.Command{
		Use:           "bench",
		Short:         "Measure response times, messages and processor time beside baselines",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			b.out = c.OutOrStdout()
			return b.run(ctx)
		},
	}
	flags := c.Flags()
	flags.StringVar(&b.programs.Daemon, "daemon", "bin/wasabifieldd", "program of the entry host")
	flags.StringVar(&b.programs.Standin, "standin", "bin/standin", "program of the stand-ins")
	flags.DurationVar(&b.duration, "duration", 8*time.Second, "length of each load")
	flags.Uint64Var(&b.seed, "seed", 1, "seed of the arrivals")
	return c
}
