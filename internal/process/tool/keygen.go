package tool

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"regexp"

	"github.com/spf13/cobra"
)

var operatorNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// keygenResult is the document that keygen prints.
type keygenResult struct {
	Name      string `json:"name"`
	PublicKey string `json:"public_key"` // base64
	File      string `json:"file"`
}

func (t *tool) newKeygenCommand() *cobra.Command {
	var file string
	var dryRun bool
	command := &cobra.Command{
		Use:   "keygen OPERATOR",
		Short: "Make an operator's key and print the lines for the settings",
		Args:  cobra.ExactArgs(1),
		RunE: runE(func(_ context.Context, args []string) error {
			if file == "" {
				file = args[0] + ".key"
			}
			return t.generateKey(args[0], file, dryRun)
		}),
	}
	command.Flags().StringVar(&file, "file", "", "where to write the private key (default OPERATOR.key)")
	command.Flags().BoolVar(&dryRun, "dry-run", false, "write no file")
	return command
}

func (t *tool) generateKey(name, file string, dryRun bool) error {
	if !operatorNamePattern.MatchString(name) {
		return usageError{fmt.Errorf("operator is %q, must be 1 to 63 of a-z, 0-9 and -, not starting with -", name)}
	}
	publicKey, privateKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	if !dryRun {
		if err := writeKey(file, operatorKey{name: name, privateKey: privateKey}); err != nil {
			return usageError{err}
		}
	}
	document := keygenResult{Name: name, PublicKey: base64.StdEncoding.EncodeToString(publicKey), File: file}
	return t.printDocument(document, func(w io.Writer) {
		writeLine(w, "operators:")
		writeLine(w, "  - name: %s", document.Name)
		writeLine(w, "    public_key: %s", document.PublicKey)
	})
}

// writeKey writes the key to a new file that only its owner can read. An
// existing file is an error and stays as it is.
func writeKey(file string, key operatorKey) (err error) {
	text, err := key.encode()
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
