package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/standin/caller"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// callerFlags are the flags of "standin caller".
type callerFlags struct {
	load        caller.LoadConfig
	tasksPerJob string
	history     string
}

func newCallerCommand() *cobra.Command {
	var f callerFlags
	c := &cobra.Command{
		Use:   "caller",
		Short: "Submit jobs and print what became of them",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	flags := c.Flags()
	flags.StringSliceVar(&f.load.Caller.Entries, "entry", nil, "HTTP addresses of entry hosts, tried in turn")
	flags.IntVar(&f.load.Jobs, "jobs", 1, "number of jobs")
	flags.StringVar(&f.tasksPerJob, "tasks", "1-210", "tasks of a job, as a number or a range")
	flags.Float64Var(&f.load.Rate, "rate", 0, "jobs a second; 0 is as fast as answers come")
	flags.IntVar(&f.load.Callers, "parallel", 1, "callers at once")
	flags.StringVar(&f.load.Caller.Team, "team", "standin", "team of the jobs")
	flags.DurationVar(&f.load.Caller.Deadline, "deadline", 10*time.Second, "deadline of a job")
	flags.DurationVar(&f.load.Caller.AnswerTimeout, "resubmit-after", 0, "an answer that takes longer counts as lost; 0 waits for ever")
	flags.DurationVar(&f.load.Caller.RetryTimeout, "give-up-after", 30*time.Second, "no resubmission after this time")
	flags.DurationVar(&f.load.MinRunTime, "run-low", 50*time.Millisecond, "shortest run time of a task")
	flags.DurationVar(&f.load.MaxRunTime, "run-high", time.Second, "longest run time of a task")
	flags.StringVar(&f.history, "history", "", "file that the history is appended to")
	flags.Uint64Var(&f.load.Seed, "seed", 1, "seed of the jobs")
	_ = c.MarkFlagRequired("entry")
	return c
}

func (f *callerFlags) run(c *cobra.Command) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	if f.load.MinTasks, f.load.MaxTasks, err = parseRange(f.tasksPerJob); err != nil {
		return err
	}
	writer, file, err := history.Open(f.history)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	f.load.Caller.History = writer
	runs := caller.RunLoad(ctx, f.load)
	caller.PrintResponseTimes(c.OutOrStdout(), runs)
	return ctx.Err()
}
