package command

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

// Main runs the command line of the standin program and exits the process with
// code 1 after an error, else 0.
func Main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for targets, callers and the network",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newTargetCommand(), newCallerCommand(), newRelayCommand(), newCheckCommand(), newDemoCommand())
	return root
}

// parseRange parses a number such as "5" or a range such as "1-210". Both bounds
// are inclusive and at least 1.
func parseRange(text string) (low, high int, err error) {
	first, last, found := strings.Cut(text, "-")
	if !found {
		last = first
	}
	if low, err = strconv.Atoi(first); err != nil {
		return 0, 0, err
	}
	if high, err = strconv.Atoi(last); err != nil {
		return 0, 0, err
	}
	if low < 1 || high < low {
		return 0, 0, fmt.Errorf("%q is not a number of 1 or more or an ascending range of such numbers", text)
	}
	return low, high, nil
}
