package tool

import (
	"os"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

func (t *tool) newBundleCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "bundle",
		Short: "Check, propose, approve, roll and replace bundles",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(
		t.newBundleCheckCommand(), t.newBundleProposeCommand(), t.newBundleApproveCommand(), t.newBundleRollCommand(),
		t.newBundleReplaceCommand(), t.newBundleWithdrawCommand(), t.newBundleSignCommand(),
		t.newBundleStatusCommand(), t.newBundleHistoryCommand(), t.newBundleDiffCommand(), t.newBundleShowCommand(),
	)
	return command
}

// bundleFile holds a bundle's text, its parsed form and the digest of the text.
type bundleFile struct {
	text   []byte
	bundle bundle.Bundle
	digest bundle.Digest
}

// loadBundle reads and checks a bundle file. An unreadable file is a usage error;
// a fault in the bundle is not, and the text and digest are then still returned.
func loadBundle(file string) (bundleFile, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return bundleFile{}, usageError{err}
	}
	b, err := bundle.Parse(text)
	return bundleFile{text: text, bundle: b, digest: bundle.DigestOf(text)}, err
}
