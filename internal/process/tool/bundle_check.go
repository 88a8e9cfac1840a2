package tool

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/finding"
)

// checkResult is the document that bundle check prints.
type checkResult struct {
	Version  uint64            `json:"version"`
	Digest   bundle.Digest     `json:"digest"`
	Faults   bundle.Faults     `json:"faults"`
	Findings []finding.Finding `json:"findings"`           // the faults and all other findings
	InForce  *uint64           `json:"in_force,omitempty"` // version that the bundle was compared with
	Lines    []bundle.Line     `json:"lines,omitempty"`    // differences from the version in force
}

const bundleCheckHelp = `Check a bundle before it is proposed.

Without --host and --against this asks no host. With --host the bundle is also
compared with the version in force, with --against with the one in a file.

Exit codes:
  0  clean
  1  warnings: the bundle is valid, but can hardly be meant
  2  errors: it is not valid or would be refused; also for wrong arguments
  3  not checked: the version in force could not be read from a host`

func (t *tool) newBundleCheckCommand() *cobra.Command {
	var against string
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a bundle, also against the version in force",
		Long:  bundleCheckHelp,
		Args:  cobra.ExactArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
			return t.checkBundle(ctx, args[0], against)
		}),
	}
	command.Flags().StringVar(&against, "against", "", "file with the version in force; default the one of --host, if that is given")
	return command
}

func (t *tool) checkBundle(ctx context.Context, file, against string) error {
	loaded, err := loadBundle(file)
	result := checkResult{Version: loaded.bundle.Version, Digest: loaded.digest, Faults: bundle.Faults{}, Findings: []finding.Finding{}}
	switch {
	case err == nil:
		result.Findings = append(result.Findings, loaded.bundle.Warnings()...)
	case errors.As(err, &result.Faults):
		result.Findings = result.Faults.Findings()
	default:
		return err
	}
	if against != "" {
		if err := result.compareWithFile(loaded, against); err != nil {
			return err
		}
	} else if len(t.hosts) > 0 {
		if err := t.compareWithHost(ctx, loaded, &result); err != nil {
			return codedError{err, ExitUnreachable} // also if it refused: 1 and 2 are findings
		}
	}
	bundle.SetLines(loaded.text, result.Findings)
	finding.Sort(result.Findings)
	if err := t.printDocument(result, result.write); err != nil {
		return err
	}
	return checkError(file, result.Findings)
}

// compareWithFile compares the bundle with the one in force, which a file holds.
func (r *checkResult) compareWithFile(loaded bundleFile, file string) error {
	base, err := loadBundle(file)
	if err != nil {
		return usageError{fmt.Errorf("%s cannot be compared with: %w", file, err)}
	}
	r.compare(loaded, base.bundle.Version, base.text)
	return nil
}

// compareWithHost compares the bundle with the one in force at the hosts.
func (t *tool) compareWithHost(ctx context.Context, loaded bundleFile, r *checkResult) error {
	base, number, err := t.readBase(ctx, 0)
	if err != nil {
		return err
	}
	var status wire.ControlStatus
	if err := t.get(ctx, wire.PathStatus, &status); err != nil {
		return err
	}
	r.compare(loaded, number, base)
	if !status.Confirmed {
		r.Findings = append(r.Findings, finding.Finding{
			Severity: finding.Warning, Text: fmt.Sprintf("host %s is cut off from a majority, so a newer version may be in force", status.Host),
		})
	}
	if len(r.Faults) == 0 && r.Version > number {
		r.Findings = append(r.Findings, checkNumber(loaded, status)...)
	}
	return nil
}

// checkNumber returns why the hosts would refuse a proposal of a bundle whose version is
// above the one in force.
func checkNumber(loaded bundleFile, status wire.ControlStatus) []finding.Finding {
	number := loaded.bundle.Version
	if number == status.NextVersion {
		return nil
	}
	text := fmt.Sprintf("is %d, but the next number is %d", number, status.NextVersion)
	for _, open := range status.OpenProposals {
		switch {
		case open.Version == number && open.Digest == loaded.digest:
			return nil // proposed already
		case open.Version == number:
			text = fmt.Sprintf("%d belongs to the content %s, which %s proposed", number, open.Digest.Short(), open.ProposedBy)
		}
	}
	return []finding.Finding{{Severity: finding.Error, Path: "version", Text: text}}
}

func (r *checkResult) compare(loaded bundleFile, inForce uint64, base []byte) {
	r.InForce = &inForce
	r.Lines = bundle.Changes(bundle.Diff(base, loaded.text))
	switch {
	case len(r.Faults) > 0:
	case loaded.digest == bundle.DigestOf(base):
		r.Findings = append(r.Findings, finding.Finding{Severity: finding.Warning, Path: "version", Text: fmt.Sprintf("%d is in force with this content, so nothing would change", inForce)})
	default:
		r.Findings = append(r.Findings, loaded.bundle.CheckSuccession(inForce)...)
	}
}

func (r *checkResult) write(w io.Writer) {
	for _, f := range r.Findings {
		writeLine(w, "%s", f)
	}
	if len(r.Faults) == 0 {
		writeLine(w, "Version %d is a valid bundle.", r.Version)
		writeLine(w, "Digest %s", r.Digest)
	}
	if r.InForce != nil {
		writeLine(w, "From version %d in force: %d lines differ.", *r.InForce, len(r.Lines))
	}
	for _, l := range r.Lines {
		writeLine(w, "%s", l)
	}
}

// checkError returns the error that leads to the exit code for the findings, nil if
// there are none.
func checkError(file string, findings []finding.Finding) error {
	errorCount := 0
	for _, f := range findings {
		if f.Severity == finding.Error {
			errorCount++
		}
	}
	switch {
	case errorCount > 0:
		return codedError{fmt.Errorf("%s has %d errors", file, errorCount), ExitUsage}
	case len(findings) > 0:
		return fmt.Errorf("%s has %d warnings", file, len(findings))
	}
	return nil
}
