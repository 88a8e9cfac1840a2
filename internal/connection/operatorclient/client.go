package operatorclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/control"
)

const maxAnswer = 32 << 20 // bytes of one answer

// Client asks entry hosts. It is safe for concurrent use.
type Client struct {
	hosts  []string
	scheme string // of the hosts' addresses
	http   *http.Client
}

// Config configures a Client.
type Config struct {
	Hosts   []string       // IP number and port of each
	Timeout time.Duration  // of one request to one host
	Roots   *x509.CertPool // authorities of the hosts' certificates; nil for plain HTTP
}

// NewClient returns a Client. Connections are not kept, so that a request is
// never repeated below the Client.
func NewClient(config Config) *Client {
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: config.Timeout}).DialContext,
		TLSClientConfig:   &tls.Config{RootCAs: config.Roots, MinVersion: tls.VersionTLS13},
		DisableKeepAlives: true,
	}
	scheme := "http://"
	if config.Roots != nil {
		scheme = "https://"
	}
	client := &http.Client{Transport: transport, Timeout: config.Timeout}
	return &Client{hosts: config.Hosts, scheme: scheme, http: client}
}

// Send sends a command. Dry makes the host say what it would answer and change
// nothing. Its errors are of the types of this package.
func (c *Client) Send(ctx context.Context, command control.Command, dryRun bool) (control.Answer, error) {
	var answer control.Answer
	body, err := json.Marshal(command)
	if err != nil {
		return answer, fmt.Errorf("encode command: %w", err)
	}
	q := question{method: http.MethodPost, path: wire.PathControl + string(command.Action), body: body}
	if dryRun {
		q.path += "?" + wire.DryRunParam + "=true"
		q.read = true
	}
	err = c.ask(ctx, q, &answer)
	return answer, err
}

// Get reads a document.
func (c *Client) Get(ctx context.Context, path string, document any) error {
	return c.ask(ctx, question{method: http.MethodGet, path: path, read: true}, document)
}

// question is what one host after another is asked.
type question struct {
	method string
	path   string
	body   []byte
	read   bool // whether it can change nothing
}

// ask tries one host after another until one answers or may have acted.
func (c *Client) ask(ctx context.Context, q question, document any) error {
	var causes []error
	var refused *RefusedError
	for _, host := range c.hosts {
		err := c.askHost(ctx, host, q, document)
		switch {
		case isDial(err), q.read && isUnknown(err):
			causes = append(causes, err)
		case errors.As(err, &refused) && notRun(refused.Answer):
			continue
		default:
			return err
		}
	}
	if refused != nil {
		return refused
	}
	return &UnreachableError{Causes: causes}
}

func isUnknown(err error) bool {
	var unknown *AnswerLostError
	return errors.As(err, &unknown)
}

// isDial says whether err is a connection that was never made.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// notRun says whether a refusal promises that nothing was done and that it may
// be asked again.
func notRun(a control.Answer) bool {
	row := failure.Lookup(a.Kind)
	return row.AttemptRan == failure.No && row.RetryAfter != failure.Never
}

func (c *Client) askHost(ctx context.Context, host string, q question, document any) error {
	request, err := http.NewRequestWithContext(ctx, q.method, c.scheme+host+q.path, bytes.NewReader(q.body))
	if err != nil {
		return fmt.Errorf("host %s: %w", host, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if isDial(err) {
		return err
	}
	if err != nil {
		return &AnswerLostError{Host: host, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return &AnswerLostError{Host: host, Cause: err}
	}
	err = decode(host, response.StatusCode, text, document)
	if refused, ok := err.(*RefusedError); ok {
		refused.ReadOnly = q.read
	}
	return err
}

// decode reads an answer. One that is no answer of an entry host leaves the
// outcome unknown.
func decode(host string, status int, text []byte, document any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(text, document); err != nil {
			return &AnswerLostError{Host: host, Cause: err}
		}
		return nil
	}
	var answer control.Answer
	if err := json.Unmarshal(text, &answer); err != nil || answer.Kind == "" {
		return &AnswerLostError{Host: host, Cause: fmt.Errorf("HTTP status %d", status)}
	}
	return &RefusedError{Answer: answer}
}
