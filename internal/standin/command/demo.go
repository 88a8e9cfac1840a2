package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/standin/demo"
)

func newDemoCommand() *cobra.Command {
	var config demo.Config
	var tool string
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run the main job as separate processes and print an account",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			config.Out = c.OutOrStdout()
			return demo.Run(ctx, config)
		},
	}
	flags := c.Flags()
	flags.StringVar(&config.Daemon, "daemon", "", "program of the entry host")
	flags.StringVar(&tool, "tool", "", "program of the operators' tool")
	flags.StringVar(&config.Target, "target", "", "program of the stand-ins")
	flags.IntVar(&config.JobCount, "jobs", 40, "number of jobs")
	flags.IntVar(&config.CallerCount, "parallel", 2, "callers at once")
	flags.IntVar(&config.TargetsPerDomain, "targets", 25, "targets in each failure domain")
	flags.IntVar(&config.SlotsPerTarget, "slots", 8, "tasks that a target runs at once")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the jobs")
	flags.BoolVar(&config.KeepFolder, "keep", false, "keep the logs and histories")
	for _, name := range []string{"daemon", "target"} {
		_ = c.MarkFlagRequired(name)
	}
	return c
}
