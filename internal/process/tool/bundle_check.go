package tool

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

// checkResult is the document that bundle check prints.
type checkResult struct {
	Version uint64        `json:"version"`
	Digest  bundle.Digest `json:"digest"`
	Faults  bundle.Faults `json:"faults"`
}

func (t *tool) newBundleCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a bundle without asking a host",
		Args:  cobra.ExactArgs(1),
		RunE: runE(func(_ context.Context, args []string) error {
			return t.checkBundle(args[0])
		}),
	}
}

func (t *tool) checkBundle(file string) error {
	loaded, err := loadBundle(file)
	result := checkResult{Version: loaded.bundle.Version, Digest: loaded.digest, Faults: bundle.Faults{}}
	if err != nil && !errors.As(err, &result.Faults) {
		return err
	}
	printErr := t.printDocument(result, func(w io.Writer) {
		for _, fault := range result.Faults {
			writeLine(w, "%s", fault)
		}
		if err == nil {
			writeLine(w, "Version %d is a valid bundle.", result.Version)
			writeLine(w, "Digest %s", result.Digest)
		}
	})
	if len(result.Faults) > 0 {
		return fmt.Errorf("%s has %d faults", file, len(result.Faults))
	}
	return printErr
}
