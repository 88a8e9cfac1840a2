package tool

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) newBundleApproveCommand() *cobra.Command {
	var flags changeFlags
	var digest string
	command := &cobra.Command{
		Use:   "approve VERSION --digest DIGEST",
		Short: "Sign a proposed version",
		Long: `Sign a proposed version. The digest, or its first 16 digits or more, is that of
the content that was reviewed, as bundle check, show and diff print it.`,
		Args: cobra.ExactArgs(1),
		RunE: runE(func(ctx context.Context, args []string) error {
			return t.approve(ctx, flags, args[0], digest)
		}),
	}
	flags.register(command)
	command.Flags().StringVar(&digest, "digest", "", "digest of the content that was reviewed")
	if err := command.MarkFlagRequired("digest"); err != nil {
		panic(err)
	}
	return command
}

func (t *tool) approve(ctx context.Context, flags changeFlags, version, digest string) error {
	number, err := parseVersion(version)
	if err != nil {
		return err
	}
	key, err := loadKey(flags.keyFile)
	if err != nil {
		return err
	}
	if len(digest) < bundle.ShortDigestLength {
		return usageError{fmt.Errorf("--digest is %q, must be at least %d digits", digest, bundle.ShortDigestLength)}
	}
	fullDigest, err := t.matchReviewedDigest(ctx, number, digest)
	if err != nil {
		return err
	}
	return t.sendCommand(ctx, flags, key, control.Command{
		Action:    control.Approve,
		Version:   number,
		Digest:    fullDigest,
		Approvals: []control.Approval{control.NewApproval(key.name, key.privateKey, number, fullDigest)},
	})
}

// matchReviewedDigest reads the full digest of a version and returns an error unless
// it begins with the reviewed digest.
func (t *tool) matchReviewedDigest(ctx context.Context, number uint64, reviewed string) (bundle.Digest, error) {
	fullDigest, err := t.readDigest(ctx, number)
	if err != nil {
		return "", err
	}
	if !strings.HasPrefix(string(fullDigest), reviewed) {
		return "", fmt.Errorf("version %d holds the content %s, not the reviewed %s: nothing was signed", number, fullDigest.Short(), reviewed)
	}
	return fullDigest, nil
}
