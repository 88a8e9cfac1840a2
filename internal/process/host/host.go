package host

import (
	"context"
	crand "crypto/rand"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"wasabifield.example/wasabifield/internal/connection/callerapi"
	"wasabifield.example/wasabifield/internal/connection/intake"
	"wasabifield.example/wasabifield/internal/connection/peer"
	"wasabifield.example/wasabifield/internal/connection/peertls"
	"wasabifield.example/wasabifield/internal/connection/targetlink"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/controlplane"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/logging"
	"wasabifield.example/wasabifield/internal/process/membership"
	"wasabifield.example/wasabifield/internal/process/profiles"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/record"
	"wasabifield.example/wasabifield/internal/request/report"
	"wasabifield.example/wasabifield/internal/request/ticket"
	"wasabifield.example/wasabifield/internal/version/evacuation"
	"wasabifield.example/wasabifield/internal/version/store"
	"wasabifield.example/wasabifield/internal/version/trail"
)

const (
	loopTickInterval      = 10 * time.Millisecond
	macKeyBytes           = 32
	incarnationRandomBits = 20 // the low bits of an incarnation, drawn at random
)

// Host is one entry host. It implements the back ends of the servers for
// callers, operators and other entry hosts.
type Host struct {
	settings        settings.Settings
	rootLog         *slog.Logger
	log             *slog.Logger
	incarnation     uint64 // of this start; peerHosts may raise it later
	minter          *ticket.Minter
	loop            *dispatch.Loop
	targets         *targetTable
	peerHosts       *hostTable
	answerCopies    *answerOutbox
	policy          *policy
	recorder        *report.Recorder
	dataFolder      *store.Folder // nil on a host without a disk
	auditTrail      *trail.Trail  // nil on a host without a disk
	controlPlane    *controlplane.Plane
	catchingUp      atomic.Bool     // true while a newer control state is fetched from another host
	runCtx          context.Context // cancelled when the host stops
	cancelRun       context.CancelFunc
	peerClient      *peer.Client
	peerCredentials peertls.Credentials
	observer        *observer
	slotReports     *slotReportCodec
	draining        atomic.Bool
	evacuations     atomic.Pointer[evacuation.Set] // in force at this host; nil until a control state has been received
}

// New returns a Host with a new incarnation. It opens the data folder and the
// audit trail of a host with a disk and loads the TLS files; Run opens the
// listeners.
func New(hostSettings settings.Settings, log *slog.Logger) (*Host, error) {
	h := &Host{
		settings:    hostSettings,
		rootLog:     log,
		log:         logging.For(log, "host"),
		recorder:    report.NewRecorder(hostSettings.Host, time.Now()),
		incarnation: newIncarnation(time.Now()),
		observer:    newObserver(hostSettings.Host, hostSettings.Domain),
		slotReports: newSlotReportCodec(),
		policy:      newPolicy(time.Now()),
	}
	h.peerHosts = newHostTable(hostSettings, h.incarnation)
	h.answerCopies = &answerOutbox{limit: hostSettings.Limits.RingCapacity, successor: h.copyReceiver}
	h.targets = newTargetTable(membership.TargetsConfig{
		TableID:       h.incarnation,
		Domain:        hostSettings.Domain,
		LeaseDuration: hostSettings.Timing.TargetLease,
	})
	h.runCtx, h.cancelRun = context.WithCancel(context.Background())
	for _, step := range []func() error{h.initTickets, h.initPeerClient, h.openDataFolder, h.initControlPlane} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	h.loop = h.newLoop()
	return h, nil
}

// initTickets draws a random MAC key for the tickets of this incarnation.
func (h *Host) initTickets() error {
	key := make([]byte, macKeyBytes)
	if _, err := crand.Read(key); err != nil {
		return err
	}
	issuer := ticket.Issuer{Host: h.settings.Host, Incarnation: h.incarnation}
	h.minter = ticket.NewMinter(issuer, key, h.settings.Timing.TicketLifetime)
	return nil
}

// initPeerClient loads the credentials for connections between entry hosts and
// creates the client for the other hosts.
func (h *Host) initPeerClient() error {
	var err error
	if h.peerCredentials, err = peertls.Load(h.settings.TLS); err != nil {
		return err
	}
	h.peerClient, err = peer.NewClient(peer.ClientConfig{
		Peers:       h.settings.Peers,
		Security:    h.peerCredentials.Client,
		DialTimeout: h.settings.Timing.DialTimeout,
		Meter:       h.observer.trafficMeter(peerConnections),
	})
	return err
}

// newIncarnation returns the time in milliseconds followed by random bits. The
// result is greater than that of every earlier start of the host unless the
// host's clock went back.
func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | uint64(rand.Uint32N(1<<incarnationRandomBits))
}

func (h *Host) newLoop() *dispatch.Loop {
	config := dispatchConfig(h.policy.current().Bundle, h.settings)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core := dispatch.NewCore(config, random)
	core.SetPeers(time.Now(), h.settings.DomainPeers())
	targetLinks := targetlink.NewLinks(targetlink.Config{
		AttemptNamePrefix: h.settings.Host + "." + strconv.FormatUint(h.incarnation, 36),
		DialTimeout:       h.settings.Timing.DialTimeout,
	})
	return dispatch.NewLoop(dispatch.LoopConfig{
		Core:       core,
		Stopper:    targetLinks,
		PeerSender: h,
		Records: record.Config{
			MaxAnswers:     h.settings.Limits.MaxRecords,
			MaxAnswerBytes: h.settings.Limits.MaxRecordBytes,
		},
		Copier:       h.answerCopies,
		CheckAllowed: h.checkAdmission,
		Spiller:      &spiller{host: h, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		Minter:       h.minter,
		Sender:       h.observer.instrumentSender(targetLinks),
		RingSize:     h.settings.Limits.RingCapacity,
		Clock:        time.Now,
		TickInterval: loopTickInterval,

		ObserveWithheld: h.observeWithheld,
	})
}

// Run serves until ctx is cancelled, then drains. When abort is cancelled it
// stops at once. It returns ErrJobsAborted if jobs were still in progress when
// it stopped, and nil if every job in progress finished.
func (h *Host) Run(ctx, abort context.Context) error {
	defer h.peerClient.Close()
	httpListener, err := intake.Listen(h.settings.HTTPAddress)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", h.settings.PeerAddress)
	if err != nil {
		return err
	}
	httpListener = h.observer.trafficMeter(httpConnections).Listen(httpListener)
	peerListener = h.observer.trafficMeter(peerConnections).Listen(peerListener)
	httpServer := h.newHTTPServer()
	grpcServer := grpc.NewServer(
		grpc.Creds(h.peerCredentials.Server),
		grpc.MaxRecvMsgSize(peer.MaxMessageBytes),
		grpc.ConnectionTimeout(h.settings.Timing.DialTimeout),
	)
	peer.Register(grpcServer, h)
	h.controlPlane.Register(grpcServer)

	defer h.closeDataFolder()
	defer h.cancelRun()
	group, groupCtx := errgroup.WithContext(h.runCtx)
	group.Go(func() error { return h.loop.Run(groupCtx) })
	group.Go(func() error { return h.observer.sample(groupCtx, h.loop) })
	group.Go(func() error { return h.serveHTTP(httpServer, httpListener) })
	group.Go(func() error {
		intake.Report(groupCtx, httpServer.Limiter, h.observer.metrics.Scope(), h.log, string(httpConnections))
		return nil
	})
	group.Go(func() error { return grpcServer.Serve(peerListener) })
	group.Go(func() error { return h.controlPlane.Run(groupCtx) })
	group.Go(func() error { return h.runExchanges(groupCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
		}
		err := h.drain(abort, httpServer, grpcServer)
		h.cancelRun()
		return err
	})
	h.log.Info("Serving.", "host", h.settings.Host, "domain", h.settings.Domain, "http", h.settings.HTTPAddress)
	return group.Wait()
}

func (h *Host) newHTTPServer() *intake.Server {
	timeouts := intake.Timeouts{
		Header: h.settings.Timing.HeaderTimeout, Idle: h.settings.Timing.IdleTimeout, HeaderBytes: h.settings.Limits.MaxHeaderBytes,
	}
	return intake.NewServer(intake.Config{
		Handler:  h.observer.instrumentHandler(h.mux()),
		Limits:   intake.Limits{Bytes: h.settings.Limits.MaxClientBytes(), Connections: h.settings.Limits.ClientConnections},
		Timeouts: func() intake.Timeouts { return timeouts },
		ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelWarn),
	})
}

// serveHTTP serves until the server is shut down. It uses TLS if the settings
// name a certificate.
func (h *Host) serveHTTP(server *intake.Server, listener net.Listener) error {
	files := h.settings.HTTPTLS
	if files.CertFile == "" {
		return ignoreClosed(server.Serve(listener))
	}
	return ignoreClosed(server.ServeTLS(listener, files.CertFile, files.KeyFile))
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (h *Host) mux() *http.ServeMux {
	mux := http.NewServeMux()
	callerapi.New(callerapi.Config{
		Host:         h.settings.Host,
		MaxBodyBytes: h.settings.Limits.MaxBodyBytes,
		Backend:      h,
		Minter:       h.minter,
		Clock:        time.Now,
		Log:          h.log,
	}).Register(mux)
	h.operatorAPI().Register(mux)
	mux.Handle("GET "+wire.PathMetrics, h.observer.metrics.Handler())
	if h.settings.ProfilesEnabled {
		profiles.Register(mux)
	}
	return mux
}
