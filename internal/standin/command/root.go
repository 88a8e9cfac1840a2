package command

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

// Main runs the stand-ins' command line and exits.
func Main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for targets, callers and the network",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newTarget(), newCaller(), newRelay(), newCheck(), newDemo())
	return root
}

// parseRange reads "5" or "1-210".
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
		return 0, 0, fmt.Errorf("%q is no range", text)
	}
	return low, high, nil
}
