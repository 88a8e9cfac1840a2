package tool

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

// comparison is what bundle diff prints.
type comparison struct {
	From   uint64        `json:"from"`
	To     uint64        `json:"to"`
	Digest bundle.Digest `json:"digest"` // of To
	Lines  []bundle.Line `json:"lines"`
}

func (t *tool) bundleDiff() *cobra.Command {
	var from uint64
	var file string
	command := &cobra.Command{
		Use:   "diff [VERSION]",
		Short: "Compare a version or a file with the version in force",
		Args:  cobra.MaximumNArgs(1),
		RunE: run(func(ctx context.Context, args []string) error {
			return t.diff(ctx, from, file, args)
		}),
	}
	command.Flags().Uint64Var(&from, "from", 0, "version to compare with (default the one in force)")
	command.Flags().StringVar(&file, "file", "", "compare this file in place of a version")
	return command
}

func (t *tool) diff(ctx context.Context, from uint64, file string, args []string) error {
	if (file == "") == (len(args) == 0) {
		return usageError{fmt.Errorf("give either a version or --file")}
	}
	after, err := t.compared(ctx, file, args)
	if err != nil {
		return err
	}
	before, number, err := t.base(ctx, from)
	if err != nil {
		return err
	}
	c := comparison{From: number, To: after.bundle.Version, Digest: after.digest, Lines: bundle.Diff(before, after.text)}
	return t.print(c, func(w io.Writer) { writeDiff(w, c) })
}

// compared returns the bundle that the operator asks about.
func (t *tool) compared(ctx context.Context, file string, args []string) (bundleFile, error) {
	if file != "" {
		return loadBundle(file)
	}
	number, err := parseVersion(args[0])
	if err != nil {
		return bundleFile{}, err
	}
	d, err := t.document(ctx, number)
	return bundleFile{text: d.Document, bundle: bundle.Bundle{Version: number}, digest: d.Digest}, err
}

// base returns the content and number of the version to compare with. Before
// the first accepted version it is empty.
func (t *tool) base(ctx context.Context, from uint64) ([]byte, uint64, error) {
	if from == 0 {
		var s wire.ControlStatus
		if err := t.get(ctx, wire.PathStatus, &s); err != nil {
			return nil, 0, err
		}
		if s.Accepted == nil {
			return nil, 0, nil
		}
		from = s.Accepted.Version
	}
	d, err := t.document(ctx, from)
	return d.Document, from, err
}

func writeDiff(w io.Writer, c comparison) {
	line(w, "From version %d to version %d, digest %s", c.From, c.To, c.Digest)
	if len(bundle.Changes(c.Lines)) == 0 {
		line(w, "No line differs.")
		return
	}
	for _, l := range c.Lines {
		line(w, "%s", l)
	}
}
