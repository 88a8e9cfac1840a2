package tool

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/version/control"
)

func (t *tool) newBundleSignCommand() *cobra.Command {
	var keyFile string
	command := &cobra.Command{
		Use:   "sign FILE",
		Short: "Print an approval of a bundle for another operator's replace",
		Args:  cobra.ExactArgs(1),
		RunE: runE(func(_ context.Context, args []string) error {
			return t.sign(keyFile, args[0])
		}),
	}
	command.Flags().StringVar(&keyFile, "key", "", "the operator's key file, as keygen writes it")
	if err := command.MarkFlagRequired("key"); err != nil {
		panic(err)
	}
	return command
}

func (t *tool) sign(keyFile, file string) error {
	key, err := loadKey(keyFile)
	if err != nil {
		return err
	}
	loaded, err := loadBundle(file)
	if err != nil {
		return err
	}
	text, err := json.Marshal(control.NewApproval(key.name, key.privateKey, loaded.bundle.Version, loaded.digest))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(t.stdout, string(text))
	return err
}
