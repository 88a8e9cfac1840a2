package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Command is the command line of a measurement.
type Command struct {
	Name  string
	Short string
	Flags func(flags *pflag.FlagSet) // adds the flags
	Run   func(ctx context.Context, out io.Writer) error
}

// Main runs the command with the process's arguments. The first SIGINT or
// SIGTERM ends its context. It exits with 1 on an error.
func (m Command) Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c := &cobra.Command{
		Use:           m.Name,
		Short:         m.Short,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return m.Run(ctx, c.OutOrStdout()) },
	}
	m.Flags(c.Flags())
	if err := c.Execute(); err != nil {
		stop()
		fmt.Fprintf(os.Stderr, "%s: %v\n", m.Name, err)
		os.Exit(1)
	}
}

// AddFlags adds the flags that name the programs.
func (p *Programs) AddFlags(flags *pflag.FlagSet) {
	flags.StringVar(&p.Daemon, "daemon", "bin/wasabifieldd", "program of the entry host")
	flags.StringVar(&p.Standin, "standin", "bin/standin", "program of the stand-ins")
}
