package tool

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

// diffResult is the document that bundle diff prints.
type diffResult struct {
	From   uint64        `json:"from"`
	To     uint64        `json:"to"`
	Digest bundle.Digest `json:"digest"` // of version To
	Lines  []bundle.Line `json:"lines"`
}

func (t *tool) newBundleDiffCommand() *cobra.Command {
	var from uint64
	var file string
	command := &cobra.Command{
		Use:   "diff [VERSION]",
		Short: "Compare a version or a file with the version in force",
		Args:  cobra.MaximumNArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
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
	after, err := t.loadCompared(ctx, file, args)
	if err != nil {
		return err
	}
	before, number, err := t.readBase(ctx, from)
	if err != nil {
		return err
	}
	result := diffResult{From: number, To: after.bundle.Version, Digest: after.digest, Lines: bundle.Diff(before, after.text)}
	return t.printDocument(result, func(w io.Writer) { writeDiff(w, result) })
}

// loadCompared returns the bundle to compare: the file, or else the version that
// args names.
func (t *tool) loadCompared(ctx context.Context, file string, args []string) (bundleFile, error) {
	if file != "" {
		return loadBundle(file)
	}
	number, err := parseVersion(args[0])
	if err != nil {
		return bundleFile{}, err
	}
	version, err := t.readVersion(ctx, number)
	return bundleFile{text: version.Document, bundle: bundle.Bundle{Version: number}, digest: version.Digest}, err
}

// readBase returns the content and number of the version to compare with: from, or
// the version in force if from is 0. If no version was accepted yet, the content is
// empty and the number 0.
func (t *tool) readBase(ctx context.Context, from uint64) ([]byte, uint64, error) {
	if from == 0 {
		var status wire.ControlStatus
		if err := t.get(ctx, wire.PathStatus, &status); err != nil {
			return nil, 0, err
		}
		if status.Accepted == nil {
			return nil, 0, nil
		}
		from = status.Accepted.Version
	}
	version, err := t.readVersion(ctx, from)
	return version.Document, from, err
}

func writeDiff(w io.Writer, result diffResult) {
	writeLine(w, "From version %d to version %d, digest %s", result.From, result.To, result.Digest)
	if len(bundle.Changes(result.Lines)) == 0 {
		writeLine(w, "No line differs.")
		return
	}
	for _, l := range result.Lines {
		writeLine(w, "%s", l)
	}
}
