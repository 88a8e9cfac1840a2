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

const defaultTimeout = 10 * time.Second // of one request to one host

const rootHelp = `wasabifield reads and changes how the service behaves.

Of several --host the next one is asked only if the one before refused the
connection or said that nothing was done.

Exit codes:
  0  done
  1  refused, or a check failed
  2  wrong arguments or an unreadable file
  3  no entry host could be reached
  4  the outcome is unknown: send the command again with the same --request-id`

// tool is one run of the command line.
type tool struct {
	out     io.Writer
	err     io.Writer
	hosts   []string
	output  string
	timeout time.Duration
	caFile  string
	roots   *x509.CertPool // nil for plain HTTP
}

// Main runs the tool and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := newRoot(&tool{out: out, err: errOut})
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(context.Background())
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "wasabifield:", err)
	}
	return exitCode(err)
}

func newRoot(t *tool) *cobra.Command {
	root := &cobra.Command{
		Use:               "wasabifield",
		Short:             "Read and change how the service behaves",
		Long:              rootHelp,
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return t.check() },
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&t.hosts, "host", nil, "IP:port of an entry host; several are tried in turn")
	flags.StringVar(&t.caFile, "ca", "", "file with the authority of the hosts' certificates; plain HTTP without it")
	flags.StringVar(&t.output, "output", outputTable, "table or json")
	flags.DurationVar(&t.timeout, "timeout", defaultTimeout, "greatest time of one request to one host")
	outputs := cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	if err := root.RegisterFlagCompletionFunc("output", outputs); err != nil {
		panic(err)
	}
	root.AddCommand(t.bundle(), t.listHosts(), t.listTargets(), t.listJobs(), t.audit(), t.report(), t.keygen())
	return root
}

// check checks the flags that all commands share.
func (t *tool) check() error {
	if t.output != outputTable && t.output != outputJSON {
		return fmt.Errorf("--output is %q, must be %s or %s", t.output, outputTable, outputJSON)
	}
	for _, host := range t.hosts {
		if _, err := netip.ParseAddrPort(host); err != nil {
			return fmt.Errorf("--host is %q, must be an IP number and port such as 10.0.0.1:7000", host)
		}
	}
	return t.readAuthority()
}

// readAuthority reads the file of --ca.
func (t *tool) readAuthority() error {
	if t.caFile == "" {
		return nil
	}
	text, err := os.ReadFile(t.caFile)
	if err != nil {
		return fmt.Errorf("--ca: %w", err)
	}
	t.roots = x509.NewCertPool()
	if !t.roots.AppendCertsFromPEM(text) {
		return fmt.Errorf("--ca is %q, which holds no certificate", t.caFile)
	}
	return nil
}

// client returns a client of the hosts that the operator named.
func (t *tool) client() (*operatorclient.Client, error) {
	if len(t.hosts) == 0 {
		return nil, usageError{fmt.Errorf("--host is missing: the IP:port of an entry host")}
	}
	return t.clientOf(t.hosts...), nil
}

func (t *tool) clientOf(hosts ...string) *operatorclient.Client {
	return operatorclient.NewClient(operatorclient.Config{Hosts: hosts, Timeout: t.timeout, Roots: t.roots})
}

// get reads a document from a host.
func (t *tool) get(ctx context.Context, path string, document any) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	return client.Get(ctx, path, document)
}

// run makes a cobra command's function of one that gets a context and the
// arguments.
func run(f func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		if err := f(command.Context(), args); err != nil {
			return runError{err}
		}
		return nil
	}
}
