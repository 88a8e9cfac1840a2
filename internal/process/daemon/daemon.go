// Package daemon implements the command line of wasabifieldd. It reads the settings,
// runs the entry host and starts a graceful shutdown on a signal. Command wasabifieldd
// calls Main. The package also adds the commands of package platform; it does none of
// the host's work itself.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/process/host"
	"wasabifield.example/wasabifield/internal/process/logging"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/platform"
)

// Exit codes of wasabifieldd.
const (
	ExitOK              = 0
	ExitFailure         = 1 // the host failed
	ExitInvalidSettings = 2 // the settings or arguments are invalid
	ExitJobsAborted     = 3 // jobs in progress were aborted
)

// Main runs the daemon with the arguments of the process and returns the exit code. It
// prints invalid arguments and settings to standard error.
func Main() int {
	code := ExitOK
	command := newCommand(&code)
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "wasabifieldd:", err)
		return ExitInvalidSettings
	}
	return code
}

func newCommand(code *int) *cobra.Command {
	var file string
	var checkOnly bool
	command := &cobra.Command{
		Use:           "wasabifieldd --config FILE",
		Short:         "Run one entry host",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(file)
			if err != nil || checkOnly {
				return err
			}
			*code = run(s)
			return nil
		},
	}
	command.Flags().StringVar(&file, "config", "", "settings file (YAML)")
	command.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	if err := command.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	command.AddCommand(platform.NewCommand(code))
	return command
}

func run(s settings.Settings) int {
	log := logging.New(os.Stderr, s.Log.Format, s.Log.Level)
	h, err := host.New(s, log)
	if err != nil {
		log.Error("Could not start.", "error", err)
		return ExitFailure
	}
	ctx, abort := signalContexts()
	err = h.Run(ctx, abort)
	switch {
	case errors.Is(err, host.ErrJobsAborted):
		return ExitJobsAborted
	case err != nil:
		log.Error("Stopped on an error.", "error", err)
		return ExitFailure
	}
	return ExitOK
}

// signalContexts returns a context that the first SIGTERM or SIGINT cancels, which
// starts a graceful shutdown, and one that the second signal cancels, which aborts it.
func signalContexts() (first, second context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancelFirst()
		<-signals
		cancelSecond()
	}()
	return first, second
}
