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
	key     string
	request string
	reason  string
	dry     bool
}

func (f *changeFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.key, "key", "", "the operator's key file, as keygen writes it")
	flags.StringVar(&f.request, "request-id", "", "id of this command; use it again to send the command again (default random)")
	flags.StringVar(&f.reason, "reason", "", "why, for the audit trail")
	flags.BoolVar(&f.dry, "dry-run", false, "say what would be answered and change nothing")
	if err := command.MarkFlagRequired("key"); err != nil {
		panic(err)
	}
}

// changed is what a change prints.
type changed struct {
	Request string `json:"request"`
	DryRun  bool   `json:"dry_run,omitempty"`
	control.Answer
}

// send signs a command, sends it and prints the answer.
func (t *tool) send(ctx context.Context, f changeFlags, key operatorKey, c control.Command) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	c.RequestID, c.Reason, c.Operator = f.request, f.reason, key.name
	if c.RequestID == "" {
		c.RequestID = randomRequest()
	}
	answer, err := client.Send(ctx, c.Sign(key.key), f.dry)
	if err != nil {
		return t.sendFailed(c, f.dry, err)
	}
	return t.print(changed{Request: c.RequestID, DryRun: f.dry, Answer: answer}, func(w io.Writer) {
		if f.dry {
			line(w, "Dry run, nothing was changed. The answer would be: %s.", answer.Message)
			return
		}
		line(w, "Done: %s.", answer.Message)
		line(w, "Request id %s.", c.RequestID)
	})
}

// sendFailed prints a refusal for programs and adds the request id to an
// unknown outcome.
func (t *tool) sendFailed(c control.Command, dry bool, err error) error {
	var refused *operatorclient.RefusedError
	if errors.As(err, &refused) && t.output == outputJSON {
		if err := t.print(changed{Request: c.RequestID, DryRun: dry, Answer: refused.Answer}, nil); err != nil {
			return err
		}
	}
	if exitCode(runError{err}) == ExitUnknown {
		return fmt.Errorf("the outcome is unknown: %w; send the command again with --request-id %s", err, c.RequestID)
	}
	if refused != nil {
		return fmt.Errorf("refused (%s): %w", refused.Answer.Kind, err)
	}
	return err
}

func randomRequest() string {
	id := make([]byte, 8)
	_, _ = rand.Read(id) // never fails: see crypto/rand
	return hex.EncodeToString(id)
}

// parseVersion reads a version number from the arguments.
func parseVersion(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, usageError{fmt.Errorf("version is %q, must be a whole number from 1", text)}
	}
	return number, nil
}

// document reads a version with its content and checks that the content has
// the digest that the host states.
func (t *tool) document(ctx context.Context, number uint64) (wire.VersionDocument, error) {
	var d wire.VersionDocument
	if err := t.get(ctx, fmt.Sprintf("%s/%d", wire.PathVersions, number), &d); err != nil {
		return d, err
	}
	if found := bundle.DigestOf(d.Document); found != d.Digest {
		return d, fmt.Errorf("host %s sent version %d with digest %s, but its content has %s", d.Host, number, d.Digest, found)
	}
	return d, nil
}

// digestOf returns the digest of a version from the history, which outlives
// its content.
func (t *tool) digestOf(ctx context.Context, number uint64) (bundle.Digest, error) {
	var h wire.History
	if err := t.get(ctx, wire.PathHistory, &h); err != nil {
		return "", err
	}
	for _, v := range h.Versions {
		if v.Version == number {
			return v.Digest, nil
		}
	}
	return "", fmt.Errorf("version %d is not known to host %s", number, h.Host)
}
