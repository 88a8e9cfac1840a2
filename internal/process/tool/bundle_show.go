package tool

import (
	"context"
	"fmt"
	"regexp"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

func (t *tool) bundleShow() *cobra.Command {
	var next bool
	command := &cobra.Command{
		Use:   "show VERSION",
		Short: "Print a version's content",
		Args:  cobra.ExactArgs(1),
		RunE: run(func(ctx context.Context, args []string) error {
			return t.show(ctx, args[0], next)
		}),
	}
	command.Flags().BoolVar(&next, "as-next", false, "under the next version number, written on top of the version in force")
	return command
}

func (t *tool) show(ctx context.Context, version string, next bool) error {
	number, err := parseVersion(version)
	if err != nil {
		return err
	}
	d, err := t.document(ctx, number)
	if err != nil {
		return err
	}
	text := d.Document
	if next {
		if text, err = t.renumber(ctx, text); err != nil {
			return err
		}
	}
	_, err = t.out.Write(text)
	return err
}

var (
	versionLine = regexp.MustCompile(`(?m)^version:.*$`)
	basedOnLine = regexp.MustCompile(`(?m)^based_on:.*\n?`)
)

// renumber returns a document under the next version number.
func (t *tool) renumber(ctx context.Context, text []byte) ([]byte, error) {
	var s wire.ControlStatus
	if err := t.get(ctx, wire.PathStatus, &s); err != nil {
		return nil, err
	}
	var accepted uint64
	if s.Accepted != nil {
		accepted = s.Accepted.Version
	}
	if !versionLine.Match(text) {
		return nil, fmt.Errorf("the content has no line that begins with version: and cannot be renumbered")
	}
	text = basedOnLine.ReplaceAll(text, nil)
	header := fmt.Sprintf("version: %d\nbased_on: %d", s.NextVersion, accepted)
	return versionLine.ReplaceAll(text, []byte(header)), nil
}
