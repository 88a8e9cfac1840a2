package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/standin/history"
)

func newCheckCommand() *cobra.Command {
	var config history.CheckConfig
	c := &cobra.Command{
		Use:   "check FILES...",
		Short: "Check histories and print an account of them",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			events, err := history.ReadFiles(files...)
			if err != nil {
				return err
			}
			account := history.Check(events, config)
			account.Print(c.OutOrStdout())
			if n := len(account.Violations); n > 0 {
				return fmt.Errorf("the histories show %d violations of invariants", n)
			}
			return nil
		},
	}
	c.Flags().DurationVar(&config.LeaveGracePeriod, "leave-within", 5*time.Second, "how long a leaving target may be offered tasks")
	return c
}
