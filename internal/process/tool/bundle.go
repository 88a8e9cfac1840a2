package tool

import (
	"os"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

func (t *tool) bundle() *cobra.Command {
	command := &cobra.Command{
		Use:   "bundle",
		Short: "Check, propose, approve, roll and replace bundles",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(
		t.bundleCheck(), t.bundlePropose(), t.bundleApprove(), t.bundleRoll(),
		t.bundleReplace(), t.bundleWithdraw(), t.bundleSign(),
		t.bundleStatus(), t.bundleHistory(), t.bundleDiff(), t.bundleShow(),
	)
	return command
}

// bundleFile is a bundle read from a file.
type bundleFile struct {
	text   []byte
	bundle bundle.Bundle
	digest bundle.Digest
}

// loadBundle reads and checks a bundle. A fault in it is a failed check, an
// unreadable file an error of usage.
func loadBundle(file string) (bundleFile, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return bundleFile{}, usageError{err}
	}
	b, err := bundle.Parse(text)
	return bundleFile{text: text, bundle: b, digest: bundle.DigestOf(text)}, err
}
