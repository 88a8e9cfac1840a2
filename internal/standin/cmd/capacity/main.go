// Command capacity measures what the dispatcher costs at several sizes, fits
// slopes and prints them as the table that docs/CAPACITY.md holds.
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
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var s suite
	var page string
	c := &cobra.Command{
		Use:           "capacity",
		Short:         "Measure costs at several sizes and fit slopes",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			report, err := s.run(ctx)
			fmt.Fprint(c.OutOrStdout(), report)
			if err != nil || page == "" {
				return err
			}
			return writePage(page, report)
		},
	}
	flags := c.Flags()
	flags.StringVar(&s.programs.Daemon, "daemon", "bin/wasabifieldd", "program of the entry host")
	flags.StringVar(&s.programs.Standin, "standin", "bin/standin", "program of the stand-ins")
	flags.DurationVar(&s.duration, "duration", 8*time.Second, "length of each measurement")
	flags.StringSliceVar(&s.only, "only", nil, "experiments to run; all if not given")
	flags.DurationVar(&s.exchange, "exchange", 0, "time between exchanges of entry hosts; 0 is the default setting")
	flags.StringVar(&page, "write", "", "page whose table is replaced")
	return c
}
