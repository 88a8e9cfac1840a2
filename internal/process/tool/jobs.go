package tool

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) newJobsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "jobs",
		Short: "List the jobs that the host works on",
		Args:  cobra.NoArgs,
		RunE: runE(func(ctx context.Context, _ []string) error {
			jobs := []wire.JobStatus{}
			if err := t.get(ctx, wire.PathJobs, &jobs); err != nil {
				return err
			}
			return t.printDocument(jobs, func(w io.Writer) {
				writeRow(w, "TICKET", "TEAM", "TASKS", "IN PROGRESS", "DONE", "AGE", "TIME LEFT")
				for _, j := range jobs {
					writeRow(w, j.Ticket, j.Team, j.Tasks, j.RunningTasks, j.CompletedTasks,
						fmt.Sprintf("%d ms", j.AgeMS), fmt.Sprintf("%d ms", j.RemainingMS))
				}
			})
		}),
	}
}
