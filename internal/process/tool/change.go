package tool

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/operatorclient"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

// changeFlags are the flags of every command that changes the control state.
type changeFlags struct {
	keyFile   string
	requestID string
	reason    string
	dryRun    bool
}

func (f *changeFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.keyFile, "key", "", "the operator's key file, as keygen writes it")
	flags.StringVar(&f.requestID, "request-id", "", "id of this command; reuse it to send the same command again (default random)")
	flags.StringVar(&f.reason, "reason", "", "why, for the audit trail")
	flags.BoolVar(&f.dryRun, "dry-run", false, "print the answer that the command would get, and change nothing")
	if err := command.MarkFlagRequired("key"); err != nil {
		panic(err)
	}
}

// changeResult is the document that a change prints.
type changeResult struct {
	RequestID string `json:"request"`
	DryRun    bool   `json:"dry_run,omitempty"`
	control.Answer
}

// sendCommand completes command with the operator's name and the flags, signs and
// sends it, and prints the answer. A missing request id is chosen at random.
func (t *tool) sendCommand(ctx context.Context, flags changeFlags, key operatorKey, command control.Command) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	command.RequestID, command.Reason, command.Operator = flags.requestID, flags.reason, key.name
	if command.RequestID == "" {
		command.RequestID = randomRequestID()
	}
	answer, err := client.Send(ctx, command.Sign(key.privateKey), flags.dryRun)
	if err != nil {
		return t.reportSendError(command, flags.dryRun, err)
	}
	return t.printDocument(changeResult{RequestID: command.RequestID, DryRun: flags.dryRun, Answer: answer}, func(w io.Writer) {
		if flags.dryRun {
			writeLine(w, "Dry run, nothing was changed. The answer would be: %s.", answer.Message)
			return
		}
		writeLine(w, "Done: %s.", answer.Message)
		writeLine(w, "Request id %s.", command.RequestID)
	})
}

// reportSendError converts the error of a sent command: it adds the request id to
// an unknown outcome and the error kind to a refusal. With --output json it also
// prints a refusal as a document.
func (t *tool) reportSendError(command control.Command, dryRun bool, err error) error {
	var refused *operatorclient.RefusedError
	if errors.As(err, &refused) && t.output == outputJSON {
		if err := t.printDocument(changeResult{RequestID: command.RequestID, DryRun: dryRun, Answer: refused.Answer}, nil); err != nil {
			return err
		}
	}
	if exitCode(executionError{err}) == ExitUnknown {
		return fmt.Errorf("the outcome is unknown: %w; send the command again with --request-id %s", err, command.RequestID)
	}
	if refused != nil {
		return fmt.Errorf("refused (%s): %w", refused.Answer.Kind, err)
	}
	return err
}

func randomRequestID() string {
	id := make([]byte, 8)
	_, _ = rand.Read(id) // crypto/rand.Read never returns an error
	return hex.EncodeToString(id)
}

// parseVersion parses a version number from the arguments.
func parseVersion(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, usageError{fmt.Errorf("version is %q, must be a whole number from 1", text)}
	}
	return number, nil
}

// readVersion reads a version with its content and verifies the content against
// the digest that the host states.
func (t *tool) readVersion(ctx context.Context, number uint64) (wire.VersionDocument, error) {
	var version wire.VersionDocument
	if err := t.get(ctx, fmt.Sprintf("%s/%d", wire.PathVersions, number), &version); err != nil {
		return version, err
	}
	if computed := bundle.DigestOf(version.Document); computed != version.Digest {
		return version, fmt.Errorf("host %s sent version %d with digest %s, but its content has %s", version.Host, number, version.Digest, computed)
	}
	return version, nil
}

// readDigest reads the digest of a version from the history, which keeps it
// longer than the hosts keep the version's content.
func (t *tool) readDigest(ctx context.Context, number uint64) (bundle.Digest, error) {
	var history wire.History
	if err := t.get(ctx, wire.PathHistory, &history); err != nil {
		return "", err
	}
	for _, v := range history.Versions {
		if v.Version == number {
			return v.Digest, nil
		}
	}
	return "", fmt.Errorf("version %d is not known to host %s", number, history.Host)
}
