package peer

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"

	"wasabifield.example/wasabifield/internal/connection/hostlink"
	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/connection/traffic"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// MaxMessageBytes bounds a message between entry hosts: the records that a
// drained host hands on are the greatest.
const MaxMessageBytes = math.MaxInt32

// backoffConfig keeps a host that comes back within a second's reach.
var backoffConfig = backoff.Config{
	BaseDelay:  100 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

// Client reaches the other entry hosts.
type Client struct {
	links map[string]*hostlink.Link // by host
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Peers       []settings.Peer
	Security    credentials.TransportCredentials
	DialTimeout time.Duration
	Meter       traffic.Meter // counts the bytes of all links
}

// NewClient returns a Client for the given hosts. It connects when first used.
func NewClient(config ClientConfig) (*Client, error) {
	c := &Client{links: make(map[string]*hostlink.Link, len(config.Peers))}
	for _, p := range config.Peers {
		l, err := hostlink.New(config.DialTimeout, func() (*grpc.ClientConn, error) {
			return grpc.NewClient("passthrough:///"+p.Address, dialOptions(config)...)
		})
		if err != nil {
			c.Close()
			return nil, failure.Wrap(failure.Internal, "peer", err)
		}
		c.links[p.Host] = l
	}
	return c, nil
}

func dialOptions(config ClientConfig) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(config.Security),
		grpc.WithContextDialer(config.Meter.Dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: config.DialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
	}
}

// Close ends all connections.
func (c *Client) Close() {
	for _, l := range c.links {
		l.Close()
	}
}

// Conn returns the connection to host, nil if it is not in the settings. It may
// be replaced by another, so it is not to be kept.
func (c *Client) Conn(host string) *grpc.ClientConn {
	if l, ok := c.links[host]; ok {
		return l.Current()
	}
	return nil
}

// Forward passes a submission to the issuer of its ticket. Its errors are
// TicketInvalid for an unknown issuer, HolderUnreachable if nothing was sent,
// and AnswerLost if the outcome is unknown.
func (c *Client) Forward(ctx context.Context, host string, body []byte) (*job.Answer, error) {
	var reply *peerpb.ForwardReply
	err := c.call(ctx, host, func(ctx context.Context, p peerpb.PeerClient) (err error) {
		reply, err = p.Forward(ctx, &peerpb.ForwardRequest{Spec: body})
		return err
	})
	return readAnswer(host, reply, err)
}

// Spill passes a job to a host of another failure domain. Its errors are those
// of Forward.
func (c *Client) Spill(ctx context.Context, host string, body []byte) (*job.Answer, error) {
	var reply *peerpb.ForwardReply
	err := c.call(ctx, host, func(ctx context.Context, p peerpb.PeerClient) (err error) {
		reply, err = p.Spill(ctx, &peerpb.SpillRequest{Spec: body})
		return err
	})
	return readAnswer(host, reply, err)
}

// call connects to host and calls f, which ends when the connection goes
// silent. Its own errors are TicketInvalid for an unknown host, and
// HolderUnreachable if f was not called.
func (c *Client) call(ctx context.Context, host string, f func(context.Context, peerpb.PeerClient) error) error {
	l, ok := c.links[host]
	if !ok {
		return &failure.Error{Kind: failure.TicketInvalid, Field: "ticket", Message: "its issuer is not known"}
	}
	conn := l.Current()
	if !l.WaitConnected(ctx, conn) {
		return failure.New(failure.HolderUnreachable, "host "+host+" holds the record and cannot be reached")
	}
	return l.CallWithProbes(ctx, conn, func(ctx context.Context) error {
		return f(ctx, peerpb.NewPeerClient(conn))
	})
}

func readAnswer(host string, reply *peerpb.ForwardReply, err error) (*job.Answer, error) {
	if _, ok := failure.As(err); ok {
		return nil, err
	}
	if err != nil {
		return nil, failure.New(failure.AnswerLost, "host "+host+" got the job and its answer was lost")
	}
	answer := &job.Answer{}
	if err := json.Unmarshal(reply.GetAnswer(), answer); err != nil {
		return nil, failure.New(failure.AnswerLost, "the answer of host "+host+" could not be read")
	}
	return answer, nil
}

// Cancel passes a cancellation to a host that may hold the records of a
// ticket. Its errors are those of Forward and the other host's refusal.
func (c *Client) Cancel(ctx context.Context, host, ticket string) error {
	var reply *peerpb.CancelReply
	err := c.call(ctx, host, func(ctx context.Context, p peerpb.PeerClient) (err error) {
		reply, err = p.Cancel(ctx, &peerpb.CancelRequest{Ticket: ticket})
		return err
	})
	if _, ok := failure.As(err); ok {
		return err
	}
	if err != nil {
		return failure.New(failure.AnswerLost, "host "+host+" may not have withdrawn the job")
	}
	if reply.GetRefusal() != "" {
		return failure.New(failure.Kind(reply.GetRefusal()), reply.GetMessage())
	}
	return nil
}

// HandOn passes the records of this drained host to another and reports
// whether that took them over. Its errors are those of Forward.
func (c *Client) HandOn(ctx context.Context, host string, r *peerpb.HandOnRequest) (bool, error) {
	var reply *peerpb.HandOnReply
	err := c.call(ctx, host, func(ctx context.Context, p peerpb.PeerClient) (err error) {
		reply, err = p.HandOn(ctx, r)
		return err
	})
	if _, ok := failure.As(err); ok {
		return false, err
	}
	if err != nil {
		return false, failure.New(failure.AnswerLost, "host "+host+" may have taken the records over")
	}
	return reply.GetAdopted(), nil
}

// AuditEntries asks a host with a disk for audit entries from an index on, as
// JSON.
func (c *Client) AuditEntries(ctx context.Context, host string, from uint64) ([][]byte, error) {
	var reply *peerpb.AuditReply
	err := c.call(ctx, host, func(ctx context.Context, p peerpb.PeerClient) (err error) {
		reply, err = p.AuditEntries(ctx, &peerpb.AuditRequest{From: from})
		return err
	})
	return reply.GetEntries(), err
}

// Exchange sends what this host knows and returns what the other knows.
func (c *Client) Exchange(ctx context.Context, host string, m *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	l := c.links[host]
	conn := l.Current()
	answer, err := peerpb.NewPeerClient(conn).Exchange(ctx, m)
	l.RecordExchange(conn, err)
	return answer, err
}
