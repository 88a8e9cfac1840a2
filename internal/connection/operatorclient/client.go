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

const maxAnswerBytes = 32 << 20 // maximum size of one answer

// Client sends requests to entry hosts. It is safe for concurrent use.
type Client struct {
	hosts  []string
	scheme string // prefix of the hosts' URLs, http:// or https://
	http   *http.Client
}

// Config configures a Client.
type Config struct {
	Hosts   []string       // IP address and port of each host
	Timeout time.Duration  // of one request to one host, and of its connection
	Roots   *x509.CertPool // certificate authorities of the hosts; nil for plain HTTP
}

// NewClient returns a Client. Every request uses a new connection, because net/http
// may repeat a request that fails on a reused connection.
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

// Send sends a command. With dryRun the host returns the answer that the command would
// get and changes nothing. Send fails with an UnreachableError, AnswerLostError or
// RefusedError.
func (c *Client) Send(ctx context.Context, command control.Command, dryRun bool) (control.Answer, error) {
	var answer control.Answer
	body, err := json.Marshal(command)
	if err != nil {
		return answer, fmt.Errorf("encode command: %w", err)
	}
	req := hostRequest{method: http.MethodPost, path: wire.PathControl + string(command.Action), body: body}
	if dryRun {
		req.path += "?" + wire.DryRunParam + "=true"
		req.readOnly = true
	}
	err = c.tryHosts(ctx, req, &answer)
	return answer, err
}

// Get reads the document at path into document. Its errors are those of Send.
func (c *Client) Get(ctx context.Context, path string, document any) error {
	return c.tryHosts(ctx, hostRequest{method: http.MethodGet, path: path, readOnly: true}, document)
}

// hostRequest is a request that is sent to one host after another.
type hostRequest struct {
	method   string
	path     string
	body     []byte
	readOnly bool // the request cannot change anything
}

// tryHosts sends a request to one host after another until one answers or may have
// carried the request out. If no host did, it returns the latest refusal, or an
// UnreachableError if there was none.
func (c *Client) tryHosts(ctx context.Context, req hostRequest, document any) error {
	var causes []error
	var refused *RefusedError
	for _, host := range c.hosts {
		err := c.sendToHost(ctx, host, req, document)
		switch {
		case isDialError(err), req.readOnly && isAnswerLost(err):
			causes = append(causes, err)
		case errors.As(err, &refused) && isRetryable(refused.Answer):
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

// isAnswerLost reports whether err is an AnswerLostError.
func isAnswerLost(err error) bool {
	var lost *AnswerLostError
	return errors.As(err, &lost)
}

// isDialError reports whether err means that no connection was made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isRetryable reports whether a refusal states that nothing was done and that a retry
// may succeed.
func isRetryable(a control.Answer) bool {
	row := failure.Lookup(a.Kind)
	return row.AttemptRan == failure.No && row.RetryAfter != failure.Never
}

// sendToHost sends a request to one host and decodes the answer into document.
func (c *Client) sendToHost(ctx context.Context, host string, req hostRequest, document any) error {
	request, err := http.NewRequestWithContext(ctx, req.method, c.scheme+host+req.path, bytes.NewReader(req.body))
	if err != nil {
		return fmt.Errorf("host %s: %w", host, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if isDialError(err) {
		return err
	}
	if err != nil {
		return &AnswerLostError{Host: host, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &AnswerLostError{Host: host, Cause: err}
	}
	err = decodeAnswer(host, response.StatusCode, text, document)
	if refused, ok := err.(*RefusedError); ok {
		refused.ReadOnly = req.readOnly
	}
	return err
}

// decodeAnswer decodes a response into document, or into a RefusedError. A response
// that does not come from an entry host leaves the outcome unknown and is an
// AnswerLostError.
func decodeAnswer(host string, status int, text []byte, document any) error {
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
