package tool

import (
	"context"
	"crypto/x509"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"wasabifield.example/wasabifield/internal/connection/operatorclient"
)

const defaultTimeout = 10 * time.Second // for one request to one host

const rootHelp = `wasabifield reads and changes how the service behaves.

Several --host are tried in turn: the next one is asked only if the one before
refused the connection or said that nothing was done. A command that only reads
also moves on if the answer was lost.

Exit codes:
  0  done
  1  refused, a check failed, or bundle check has warnings
  2  wrong arguments, an unreadable file, or bundle check has errors
  3  no entry host could be reached, or bundle check got no state from the hosts
  4  the outcome is unknown: send the command again with the same --request-id`

// tool holds the output streams and the shared flags of one invocation.
type tool struct {
	stdout  io.Writer
	stderr  io.Writer
	hosts   []string
	output  string
	timeout time.Duration
	caFile  string
	rootCAs *x509.CertPool // nil for plain HTTP
}

// Main parses args, which don't include the program name, runs the command and
// returns its exit code. Errors are printed to errOut.
func Main(args []string, out, errOut io.Writer) int {
	root := newRootCommand(&tool{stdout: out, stderr: errOut})
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(context.Background())
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "wasabifield:", err)
	}
	return exitCode(err)
}

func newRootCommand(t *tool) *cobra.Command {
	root := &cobra.Command{
		Use:               "wasabifield",
		Short:             "Read and change how the service behaves",
		Long:              rootHelp,
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return t.checkFlags() },
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&t.hosts, "host", nil, "IP:port of an entry host; may be repeated, the hosts are tried in turn")
	flags.StringVar(&t.caFile, "ca", "", "PEM file with the authorities that signed the hosts' certificates; plain HTTP without it")
	flags.StringVar(&t.output, "output", outputTable, "table or json")
	flags.DurationVar(&t.timeout, "timeout", defaultTimeout, "timeout of one request to one host")
	outputs := cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	if err := root.RegisterFlagCompletionFunc("output", outputs); err != nil {
		panic(err)
	}
	root.AddCommand(t.newBundleCommand(), t.newEvacuationCommand(), t.newHostsCommand(), t.newTargetsCommand(), t.newJobsCommand(), t.newAuditCommand(), t.newReportCommand(), t.newKeygenCommand())
	return root
}

// checkFlags validates the flags that all commands share and loads the --ca file.
func (t *tool) checkFlags() error {
	if t.output != outputTable && t.output != outputJSON {
		return fmt.Errorf("--output is %q, must be %s or %s", t.output, outputTable, outputJSON)
	}
	for _, host := range t.hosts {
		if _, err := netip.ParseAddrPort(host); err != nil {
			return fmt.Errorf("--host is %q, must be an IP number and port such as 10.0.0.1:7000", host)
		}
	}
	return t.loadRootCAs()
}

// loadRootCAs loads the certificates of the --ca file, if that flag is set.
func (t *tool) loadRootCAs() error {
	if t.caFile == "" {
		return nil
	}
	text, err := os.ReadFile(t.caFile)
	if err != nil {
		return fmt.Errorf("--ca: %w", err)
	}
	t.rootCAs = x509.NewCertPool()
	if !t.rootCAs.AppendCertsFromPEM(text) {
		return fmt.Errorf("--ca is %q, which holds no certificate", t.caFile)
	}
	return nil
}

// client returns a client of the --host hosts, or a usage error if there is none.
func (t *tool) client() (*operatorclient.Client, error) {
	if len(t.hosts) == 0 {
		return nil, usageError{fmt.Errorf("--host is missing: the IP:port of an entry host")}
	}
	return t.newClientFor(t.hosts...), nil
}

func (t *tool) newClientFor(hosts ...string) *operatorclient.Client {
	return operatorclient.NewClient(operatorclient.Config{Hosts: hosts, Timeout: t.timeout, Roots: t.rootCAs})
}

// get reads the document at path from the first host that answers.
func (t *tool) get(ctx context.Context, path string, document any) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	return client.Get(ctx, path, document)
}

// runE adapts f to cobra's RunE and wraps its error in an executionError, which
// distinguishes it from cobra's own errors about the arguments.
func runE(f func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		if err := f(command.Context(), args); err != nil {
			return executionError{err}
		}
		return nil
	}
}
