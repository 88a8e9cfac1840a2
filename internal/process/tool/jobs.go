package tool

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) listJobs() *cobra.Command {
	return &cobra.Command{
		Use:   "jobs",
		Short: "List the jobs that the host works on",
		Args:  cobra.NoArgs,
		RunE: run(func(ctx context.Context, _ []string) error {
			jobs := []wire.JobStatus{}
			if err := t.get(ctx, wire.PathJobs, &jobs); err != nil {
				return err
			}
			return t.print(jobs, func(w io.Writer) {
				row(w, "TICKET", "TEAM", "TASKS", "IN PROGRESS", "DONE", "AGE", "TIME LEFT")
				for _, j := range jobs {
					row(w, j.Ticket, j.Team, j.Tasks, j.RunningTasks, j.CompletedTasks,
						fmt.Sprintf("%d ms", j.AgeMS), fmt.Sprintf("%d ms", j.RemainingMS))
				}
			})
		}),
	}
}
