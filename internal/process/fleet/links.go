package fleet

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"wasabifield.example/wasabifield/internal/connection/hostlink"
	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/process/discovery"
)

// AddSeeds adds hosts with a disk by their addresses. It may only be called while Run
// is in progress.
func (n *Node) AddSeeds(seeds []string) {
	for _, seed := range seeds {
		n.addHost(seed, discovery.Host{Address: seed, HasDisk: true})
	}
}

// addHost opens the link to a host, unless there is one.
func (n *Node) addHost(address string, h discovery.Host) {
	if address == n.config.Self.Address {
		return
	}
	n.mu.Lock()
	_, known := n.links[address]
	if known {
		n.mu.Unlock()
		return
	}
	link, err := n.openLink(address)
	if err != nil {
		n.mu.Unlock()
		n.log.Error("The link to a host could not be opened.", "peer", address, "error", err)
		return
	}
	n.links[address] = link
	n.mu.Unlock()
	n.log.Info("A host became known.", "peer", address, "name", h.Name, "domain", h.Domain, "disk", h.HasDisk, "entry", h.Entry,
		"cpu_milli", h.CPUMilli, "link_kbps", h.LinkKbps)
	n.controller.AddPeer(controller.Peer{Host: address, Domain: h.Domain, HasDisk: h.HasDisk, Conn: link})
	n.group.Go(func() error { n.runHellos(n.runCtx, address, link); return nil })
}

// openLink opens a link to a host.
func (n *Node) openLink(address string) (*hostlink.Link, error) {
	return hostlink.New(hostlink.Config{
		Timeout: dialTimeout,
		Connect: func(observe func(net.Conn) net.Conn) (*grpc.ClientConn, error) { return dial(address, observe) },
		Now:     n.now,
		Report:  func(t hostlink.Trial) { n.recordTrial(address, t) },
	})
}

// recordTrial logs and counts the trial of a new connection beside one that did not answer in
// time.
func (n *Node) recordTrial(address string, t hostlink.Trial) {
	n.config.Metrics.Scope().Tagged(map[string]string{"result": t.Result.String()}).Counter("link_trials").Inc(1)
	attributes := []any{"peer", address, "age", t.Age, "calls", t.Calls, "took", t.Took}
	switch t.Result {
	case hostlink.Silent:
		n.log.Warn("A silent connection to a host was replaced.", attributes...)
	case hostlink.Late:
		n.log.Info("A connection to a host answered late.", attributes...)
	case hostlink.Unanswered:
		n.log.Info("A host answered over no connection.", attributes...)
	}
}

func dial(address string, observe func(net.Conn) net.Conn) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := connect(ctx, address)
			if err != nil {
				return nil, err
			}
			return observe(conn), nil
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialMinDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: redialMaxDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(controller.MaxContentBytes+1<<20)),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithIdleTimeout(0))
}

// connect opens a TCP connection within connectTimeout. Hosts that lost power together
// thus reach each other soon after the last one is back.
func connect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.Close()
	}
}

// link returns the link to a host.
func (n *Node) link(address string) (*hostlink.Link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[address]
	return l, ok
}
