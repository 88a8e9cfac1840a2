package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wasabifield.example/wasabifield/internal/standin/history"
	"wasabifield.example/wasabifield/internal/standin/target"
)

// targetFlags are the flags of "standin target".
type targetFlags struct {
	config             target.TargetConfig
	count              int
	service            string
	history            string
	seed               uint64
	exitWithoutLeaving bool
}

func newTargetCommand() *cobra.Command {
	var f targetFlags
	c := &cobra.Command{
		Use:   "target",
		Short: "Run targets in one process; SIGTERM lets them leave, SIGUSR1 ends their renewals",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return f.run() },
	}
	flags := c.Flags()
	flags.IntVar(&f.count, "count", 1, "number of targets")
	flags.StringVar(&f.config.Name, "name", "target", "name, or prefix of the names")
	flags.IntVar(&f.config.Slots, "slots", 8, "tasks that a target runs at once")
	flags.IntVar(&f.config.Connections, "connections", 64, "connections that a target accepts")
	flags.IntVar(&f.config.Accelerators, "accelerators", 0, "accelerators of a target")
	flags.StringVar(&f.config.ListenAddress, "listen", "", "IP:port to listen at; empty is a free port of 127.0.0.1")
	flags.StringVar(&f.config.AnnouncedAddress, "announce", "", "IP:port to announce; empty is the one listened at")
	flags.StringVar(&f.config.Domain, "domain", "", "failure domain")
	flags.StringVar(&f.config.Rack, "rack", "", "rack")
	flags.StringVar(&f.config.Worker, "worker", "", "worker")
	flags.StringSliceVar(&f.config.Entries, "entry", nil, "HTTP addresses of entry hosts, tried in turn")
	flags.StringVar(&f.service, "service", "scripted", "run times: fixed:D, uniform:D-D or scripted")
	flags.Float64Var(&f.config.FailRate, "fail-rate", 0, "probability that a task fails")
	flags.Float64Var(&f.config.RefuseRate, "refuse-rate", 0, "probability that a task is refused without being started")
	flags.DurationVar(&f.config.LingerTime, "linger", time.Second, "how long a leaving target goes on refusing tasks")
	flags.StringVar(&f.history, "history", "", "file that the history is appended to")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the run times and failures")
	flags.BoolVar(&f.exitWithoutLeaving, "die-at-once", false, "on SIGTERM, exit without leaving")
	return c
}

func (f *targetFlags) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	writer, file, err := history.Open(f.history)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	f.config.History = writer
	f.config.Incarnation = uint64(time.Now().UnixNano())
	targets, err := f.newTargets()
	if err != nil {
		return err
	}
	go stopRenewalsOnSignal(targets)
	var group errgroup.Group
	for _, t := range targets {
		group.Go(func() error { return t.Run(ctx) })
	}
	if f.exitWithoutLeaving {
		<-ctx.Done()
		return nil
	}
	return group.Wait()
}

func (f *targetFlags) newTargets() ([]*target.Target, error) {
	var targets []*target.Target
	for i := range f.count {
		config := f.config
		if f.count > 1 {
			config.Name = fmt.Sprintf("%s-%d", f.config.Name, i+1)
		}
		service, err := target.ParseServiceTime(f.service, f.seed+uint64(i))
		if err != nil {
			return nil, err
		}
		config.ServiceTime = service
		t, err := target.NewTarget(config)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	return targets, nil
}

// stopRenewalsOnSignal waits for SIGUSR1 and then makes targets stop renewing
// their announcements.
func stopRenewalsOnSignal(targets []*target.Target) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	<-signals
	for _, t := range targets {
		t.StopRenewing()
	}
}
