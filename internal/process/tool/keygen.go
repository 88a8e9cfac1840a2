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

var operatorPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// newKey is what keygen prints.
type newKey struct {
	Name      string `json:"name"`
	PublicKey string `json:"public_key"` // base64
	File      string `json:"file"`
}

func (t *tool) keygen() *cobra.Command {
	var file string
	var dry bool
	command := &cobra.Command{
		Use:   "keygen OPERATOR",
		Short: "Make an operator's key and print the lines for the settings",
		Args:  cobra.ExactArgs(1),
		RunE: run(func(_ context.Context, args []string) error {
			if file == "" {
				file = args[0] + ".key"
			}
			return t.makeKey(args[0], file, dry)
		}),
	}
	command.Flags().StringVar(&file, "file", "", "where to write the private key (default OPERATOR.key)")
	command.Flags().BoolVar(&dry, "dry-run", false, "write no file")
	return command
}

func (t *tool) makeKey(name, file string, dry bool) error {
	if !operatorPattern.MatchString(name) {
		return usageError{fmt.Errorf("operator is %q, must be 1 to 63 of a-z, 0-9 and -, not starting with -", name)}
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	if !dry {
		if err := writeKey(file, operatorKey{name: name, key: private}); err != nil {
			return usageError{err}
		}
	}
	document := newKey{Name: name, PublicKey: base64.StdEncoding.EncodeToString(public), File: file}
	return t.print(document, func(w io.Writer) {
		line(w, "operators:")
		line(w, "  - name: %s", document.Name)
		line(w, "    public_key: %s", document.PublicKey)
	})
}

// writeKey writes a new file that its owner alone can read.
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
