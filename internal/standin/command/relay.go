package command

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/standin/relay"
)

func newRelayCommand() *cobra.Command {
	var listen, to, control string
	c := &cobra.Command{
		Use:   "relay",
		Short: "Relay one link that can be cut, silenced or delayed",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runRelay(listen, to, control) },
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address that is relayed from")
	c.Flags().StringVar(&to, "to", "", "address that is relayed to")
	c.Flags().StringVar(&control, "control", "", "address of the HTTP control")
	_ = c.MarkFlagRequired("to")
	_ = c.MarkFlagRequired("control")
	return c
}

func runRelay(listen, to, control string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r, err := relay.NewRelay(listen, to)
	if err != nil {
		return err
	}
	defer r.Close()
	server := &http.Server{Addr: control, Handler: r.Handler()}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
