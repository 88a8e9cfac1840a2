package peer

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/connection/traffic"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

const maxMessageBytes = math.MaxInt32

// backoffConfig keeps a host that comes back within a second's reach.
var backoffConfig = backoff.Config{
	BaseDelay:  100 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

// Client reaches the other entry hosts.
type Client struct {
	conns map[string]*grpc.ClientConn // by host
	dial  time.Duration
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
	c := &Client{conns: make(map[string]*grpc.ClientConn, len(config.Peers)), dial: config.DialTimeout}
	for _, p := range config.Peers {
		conn, err := grpc.NewClient("passthrough:///"+p.Peer, dialOptions(config)...)
		if err != nil {
			c.Close()
			return nil, failure.Wrap(failure.Internal, "peer", err)
		}
		c.conns[p.Host] = conn
	}
	return c, nil
}

func dialOptions(config ClientConfig) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(config.Security),
		grpc.WithContextDialer(config.Meter.Dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: config.DialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
	}
}

// Close ends all connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Conn returns the connection to host, nil if it is not in the settings.
func (c *Client) Conn(host string) *grpc.ClientConn { return c.conns[host] }

// Forward passes a submission to the issuer of its ticket. Its errors are
// TicketInvalid for an unknown issuer, HolderUnreachable if nothing was sent,
// and AnswerLost if the outcome is unknown.
func (c *Client) Forward(ctx context.Context, host string, body []byte) (*job.Answer, error) {
	conn, ok := c.conns[host]
	if !ok {
		return nil, &failure.Error{Kind: failure.TicketInvalid, Field: "ticket", Message: "its issuer is not known"}
	}
	if !c.connected(ctx, conn) {
		return nil, failure.New(failure.HolderUnreachable, "host "+host+" holds the record and cannot be reached")
	}
	reply, err := peerpb.NewPeerClient(conn).Forward(ctx, &peerpb.ForwardRequest{Spec: body})
	if err != nil {
		return nil, failure.New(failure.AnswerLost, "host "+host+" got the job and its answer was lost")
	}
	answer := &job.Answer{}
	if err := json.Unmarshal(reply.GetAnswer(), answer); err != nil {
		return nil, failure.New(failure.AnswerLost, "the answer of host "+host+" could not be read")
	}
	return answer, nil
}

// Cancel passes a cancellation to the issuer of a ticket. Its errors are
// those of Forward.
func (c *Client) Cancel(ctx context.Context, host, ticket string) error {
	conn, ok := c.conns[host]
	if !ok {
		return &failure.Error{Kind: failure.TicketInvalid, Field: "ticket", Message: "its issuer is not known"}
	}
	if !c.connected(ctx, conn) {
		return failure.New(failure.HolderUnreachable, "host "+host+" holds the record and cannot be reached")
	}
	_, err := peerpb.NewPeerClient(conn).Cancel(ctx, &peerpb.CancelRequest{Ticket: ticket})
	if err != nil {
		return failure.New(failure.AnswerLost, "host "+host+" may not have withdrawn the job")
	}
	return nil
}

// Exchange sends what this host knows and returns what the other knows.
func (c *Client) Exchange(ctx context.Context, host string, m *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	return peerpb.NewPeerClient(c.conns[host]).Exchange(ctx, m)
}

// connected waits up to the dial timeout for a connection. Nothing of a
// request is sent before it is there, so its absence proves a request unsent.
func (c *Client) connected(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, c.dial)
	defer cancel()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		if state == connectivity.TransientFailure {
			return false
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}
