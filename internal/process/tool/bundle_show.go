package tool

import (
	"context"
	"fmt"
	"regexp"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) newBundleShowCommand() *cobra.Command {
	var asNext bool
	command := &cobra.Command{
		Use:   "show VERSION",
		Short: "Print a version's content",
		Args:  cobra.ExactArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
			return t.showVersion(ctx, args[0], asNext)
		}),
	}
	command.Flags().BoolVar(&asNext, "as-next", false, "print the content under the next version number, based on the version in force")
	return command
}

func (t *tool) showVersion(ctx context.Context, version string, asNext bool) error {
	number, err := parseVersion(version)
	if err != nil {
		return err
	}
	versionDocument, err := t.readVersion(ctx, number)
	if err != nil {
		return err
	}
	text := versionDocument.Document
	if asNext {
		if text, err = t.renumber(ctx, text); err != nil {
			return err
		}
	}
	_, err = t.stdout.Write(text)
	return err
}

var (
	versionLine = regexp.MustCompile(`(?m)^version:.*$`)
	basedOnLine = regexp.MustCompile(`(?m)^based_on:.*\n?`)
)

// renumber returns a bundle's text with the next version number, based on the
// version in force, or on 0 if no version was accepted yet.
func (t *tool) renumber(ctx context.Context, text []byte) ([]byte, error) {
	var status wire.ControlStatus
	if err := t.get(ctx, wire.PathStatus, &status); err != nil {
		return nil, err
	}
	var accepted uint64
	if status.Accepted != nil {
		accepted = status.Accepted.Version
	}
	if !versionLine.Match(text) {
		return nil, fmt.Errorf("the content has no line that begins with version: and cannot be renumbered")
	}
	text = basedOnLine.ReplaceAll(text, nil)
	header := fmt.Sprintf("version: %d\nbased_on: %d", status.NextVersion, accepted)
	return versionLine.ReplaceAll(text, []byte(header)), nil
}
