// Command rollout measures the control path: how long a change takes until it
// is in force at every host, and what the control of a host costs at rest and
// while changes are made.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "rollout:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var r run
	c := &cobra.Command{
		Use:           "rollout",
		Short:         "Measure changes of the bundle",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return r.measure(ctx, c.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.StringVar(&r.fleet.Daemon, "daemon", "bin/wasabifieldd", "program of the entry host")
	flags.StringVar(&r.fleet.Standin, "standin", "bin/standin", "program of the stand-ins")
	flags.IntVar(&r.fleet.Domains, "domains", 3, "failure domains")
	flags.IntVar(&r.fleet.HostsPerDomain, "hosts", 2, "entry hosts of each domain")
	flags.IntVar(&r.fleet.Disks, "disks", 3, "domains whose first host has a disk")
	flags.IntVar(&r.changes, "changes", 100, "changes to make")
	return c
}
