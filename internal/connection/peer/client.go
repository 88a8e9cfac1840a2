package peer

import (
	"context"
	"encoding/json"
	"math"
	"net"
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

// MaxMessageBytes limits a message between entry hosts. The largest ones hold the
// records that a drained host hands over.
const MaxMessageBytes = math.MaxInt32

// reconnectBackoff lets a host that was down be reached again within about a second
// of its return.
var reconnectBackoff = backoff.Config{
	BaseDelay:  100 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

// Client calls the other entry hosts. It is safe for concurrent use.
type Client struct {
	links map[string]*hostlink.Link // by host
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Peers       []settings.Peer
	Security    credentials.TransportCredentials
	DialTimeout time.Duration // for a connection to be made and for a probe to be answered
	Meter       traffic.Meter // counts the bytes of all connections
}

// NewClient returns a Client for the given hosts. It connects to a host at the first
// call.
func NewClient(config ClientConfig) (*Client, error) {
	c := &Client{links: make(map[string]*hostlink.Link, len(config.Peers))}
	for _, p := range config.Peers {
		l, err := hostlink.New(hostlink.Config{Timeout: config.DialTimeout, Connect: func(observe func(net.Conn) net.Conn) (*grpc.ClientConn, error) {
			return grpc.NewClient("passthrough:///"+p.Address, dialOptions(config, observe)...)
		}})
		if err != nil {
			c.Close()
			return nil, failure.Wrap(failure.Internal, "peer", err)
		}
		c.links[p.Host] = l
	}
	return c, nil
}

func dialOptions(config ClientConfig, observe func(net.Conn) net.Conn) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(config.Security),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := config.Meter.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return observe(conn), nil
		}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: config.DialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
	}
}

// Close closes all connections.
func (c *Client) Close() {
	for _, l := range c.links {
		l.Close()
	}
}

// Conn returns the current connection to host, or nil if host is not in the settings.
// The connection may be replaced at any time, so callers must not keep it.
func (c *Client) Conn(host string) *grpc.ClientConn {
	if l, ok := c.links[host]; ok {
		return l.Current().ClientConn
	}
	return nil
}

// Forward passes a submission, as JSON, to the host that issued its ticket. It fails
// with TicketInvalid if host is not in the settings, HolderUnreachable if nothing was
// sent, and AnswerLost if the outcome is unknown.
func (c *Client) Forward(ctx context.Context, host string, body []byte) (*job.Answer, error) {
	var reply *peerpb.ForwardReply
	err := c.call(ctx, host, func(ctx context.Context, p peerpb.PeerClient) (err error) {
		reply, err = p.Forward(ctx, &peerpb.ForwardRequest{Spec: body})
		return err
	})
	return readAnswer(host, reply, err)
}

// Spill passes a job, as JSON, to a host of another failure domain. Its errors are
// those of Forward.
func (c *Client) Spill(ctx context.Context, host string, body []byte) (*job.Answer, error) {
	var reply *peerpb.ForwardReply
	err := c.call(ctx, host, func(ctx context.Context, p peerpb.PeerClient) (err error) {
		reply, err = p.Spill(ctx, &peerpb.SpillRequest{Spec: body})
		return err
	})
	return readAnswer(host, reply, err)
}

// call connects to host and calls f. It cancels f's context if the connection stops
// answering. Its own errors are TicketInvalid if host is not in the settings, and
// HolderUnreachable if f was not called.
func (c *Client) call(ctx context.Context, host string, f func(context.Context, peerpb.PeerClient) error) error {
	link, ok := c.links[host]
	if !ok {
		return &failure.Error{Kind: failure.TicketInvalid, Field: "ticket", Message: "its issuer is not known"}
	}
	conn := link.Current()
	if !link.WaitConnected(ctx, conn) {
		return failure.New(failure.HolderUnreachable, "host "+host+" holds the record and cannot be reached")
	}
	return link.CallWithProbes(ctx, conn, func(ctx context.Context) error {
		return f(ctx, peerpb.NewPeerClient(conn))
	})
}

// readAnswer decodes the answer in a reply. It returns a failure.Error unchanged; any
// other error and a reply that cannot be decoded become AnswerLost.
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

// Cancel passes a cancellation to a host that may hold the records of a ticket. It
// fails with the errors of Forward and with the refusal of the other host.
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
		return failure.New(failure.AnswerLost, "host "+host+" may not have cancelled the job")
	}
	if reply.GetRefusal() != "" {
		return failure.New(failure.Kind(reply.GetRefusal()), reply.GetMessage())
	}
	return nil
}

// HandOn sends the records of this drained host to another host and reports whether
// that host took them over. Its errors are those of Forward.
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

// AuditEntries requests audit entries, as JSON, from a host with a disk, from the
// given index on.
func (c *Client) AuditEntries(ctx context.Context, host string, from uint64) ([][]byte, error) {
	var reply *peerpb.AuditReply
	err := c.call(ctx, host, func(ctx context.Context, p peerpb.PeerClient) (err error) {
		reply, err = p.AuditEntries(ctx, &peerpb.AuditRequest{From: from})
		return err
	})
	return reply.GetEntries(), err
}

// Exchange sends what this host knows and returns what the other host knows. host must
// be in the settings. A connection that stops answering is replaced.
func (c *Client) Exchange(ctx context.Context, host string, m *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	var answer *peerpb.ExchangeMessage
	err := c.links[host].Exchange(ctx, func(ctx context.Context, conn *hostlink.Conn) (err error) {
		answer, err = peerpb.NewPeerClient(conn).Exchange(ctx, m)
		return err
	})
	return answer, err
}
