package fleet

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/connection/hostlink"
	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/process/logging"
	"wasabifield.example/wasabifield/internal/process/losses"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/catalog"
	"wasabifield.example/wasabifield/internal/version/register"
)

// Node is one host of the system: its links to the other hosts, what they and the
// targets report, and the pools that it holds or may hold.
type Node struct {
	config         Config
	log            *slog.Logger
	controller     *controller.Controller
	catalogs       *catalogs
	evacuations    *evacuations
	pauses         *pauseWatch
	announcements  *announcementTable // from targets, directly or through other hosts
	toForward      chan Announcement  // to other hosts
	notices        *noticeTable       // to other hosts
	losses         *losses.Table
	partsMetrics   partsMetrics
	lossReports    chan lossReport // to other hosts
	submissions    *submissions    // from other hosts
	withdrawals    withdrawals     // of submissions to other hosts
	lastSubmission atomic.Uint64   // number of the last one to another host
	racks          rackIndex
	startedAt      time.Time
	leaving        atomic.Bool
	busyPercent    atomic.Int64 // processor time used lately, of this host's share; 0 if unknown
	catalogFetchMu sync.Mutex   // held while a newer catalog is fetched
	runCtx         context.Context
	group          *errgroup.Group

	mu               sync.Mutex
	hostTable        *discovery.Table
	links            map[string]*hostlink.Link
	claims           map[string]remoteClaim // by pool
	remoteHolders    map[string]bool        // hosts with a claim in claims
	pools            map[string]*pool       // by name: those that this host holds or may hold; none on a host that accepts no jobs
	clocks           map[string]hostClock   // by address
	partsAccepted    map[string]bool        // by address: whether the host reads the first task of a job
	shardCounts      map[string]int         // by domain; one shard where it is missing
	heardDirectly    map[string]bool        // addresses of the hosts from which a hello message has come since the start
	lossesResolvedAt time.Time              // when lost targets were last looked for
	domainHostsNewAt time.Time              // when an entry host of this host's domain last became known
	busyHandOverAt   time.Time              // when a pool was last handed over because this host is busy
}

// remoteClaim is another host's claim on a pool, with the load that the host reported.
type remoteClaim struct {
	claim       holder.Claim
	freeTasks   int       // tasks that would start at once, without those that this host has sent there since
	queuedTasks int       // tasks that wait
	reportedAt  time.Time // when the numbers were received
	// holderIncarnation is the holder's incarnation when the claim was received, 0 if
	// it was unknown.
	holderIncarnation uint64
}

// New returns a Node, which does nothing before Run. The error is Internal if the
// replicated register cannot be opened.
func New(config Config) (*Node, error) {
	n := &Node{
		config:        config,
		log:           logging.For(config.Log, "fleet"),
		startedAt:     config.now(),
		hostTable:     discovery.NewTable(config.Self.Address),
		links:         map[string]*hostlink.Link{},
		claims:        map[string]remoteClaim{},
		remoteHolders: map[string]bool{},
		pools:         map[string]*pool{},
		shardCounts:   map[string]int{},
		heardDirectly: map[string]bool{},
		partsAccepted: map[string]bool{},
		clocks:        map[string]hostClock{},
		announcements: newAnnouncementTable(),

		toForward:    make(chan Announcement, forwardRing),
		notices:      newNoticeTable(),
		losses:       losses.NewTable(),
		partsMetrics: newPartsMetrics(config.Metrics),
		lossReports:  make(chan lossReport, lossRing),
		submissions:  newSubmissions(),
		withdrawals:  withdrawals{pending: map[string][]withdrawal{}},
	}
	timing := controller.DefaultTiming()
	timing.ConfirmInterval = catalogConfirmInterval
	c, err := controller.NewController(controller.Config{
		Host:          config.Self.Address,
		Folder:        config.DataFolder,
		Random:        newRandom(),
		Clock:         config.now,
		Log:           logging.For(config.Log, "controller"),
		Timing:        timing,
		InitialVoters: config.InitialVoters,
		Bootstrapped:  config.Bootstrapped,
		VoterCount:    config.VoterCount,
		Lost:          n.isLost,
	})
	if err != nil {
		return nil, failure.Wrap(failure.Internal, "fleet", err)
	}
	n.controller = c
	n.evacuations = newEvacuations(n.log, config.Metrics)
	n.pauses = newPauseWatch(n.startedAt)
	n.pauses.readSuspended, n.pauses.noticed = config.suspended, n.reportPause
	n.catalogs = newCatalogs(c, config.Parse, n.now, n.log)
	n.catalogs.applyEvacuations = n.applyEvacuations
	return n, nil
}

// Now returns the time on this host's clock.
func (n *Node) Now() time.Time { return n.config.now() }

// EarliestArrival returns since when a request that is read now may have been waiting: a host
// that was frozen or suspended does not know when it arrived.
func (n *Node) EarliestArrival(now time.Time) time.Time { return n.pauses.earliestArrival(now) }

func (n *Node) now() time.Time { return n.config.now() }

func (n *Node) since(t time.Time) time.Duration { return n.now().Sub(t) }

func newRandom() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // never fails on the supported platforms
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// Run serves other hosts on the listener until ctx is cancelled.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	n.runCtx, n.group = ctx, group
	server := grpc.NewServer(
		grpc.StatsHandler(connListener{now: n.now}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: linkKeepalive, Timeout: time.Second}),
		grpc.MaxRecvMsgSize(controller.MaxContentBytes+1<<20),
	)
	fleetpb.RegisterFleetServer(server, &service{node: n})
	fleetpb.RegisterResubmissionServer(server, &service{node: n})
	n.controller.Register(server)
	healthpb.RegisterHealthServer(server, health.NewServer())
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		server.Stop()
		n.closeLinks()
		return nil
	})
	group.Go(func() error { return n.controller.Run(ctx) })
	group.Go(func() error { return n.catalogs.follow(ctx) })
	group.Go(func() error { return n.pauses.run(ctx, n.now) })
	group.Go(func() error { return n.forwardAnnouncements(ctx) })
	group.Go(func() error { return n.reportLosses(ctx) })
	group.Go(func() error { return n.measureBusyness(ctx) })
	n.openOwnPools()
	n.AddSeeds(n.config.Seeds)
	return group.Wait()
}

// isLost reports whether a host has been silent for longer than voterLostAfter. A host
// that was never heard from counts as lost only once this host has run for that long.
func (n *Node) isLost(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	_, age, ok := n.hostTable.Get(address, now)
	if !ok {
		return now.Sub(n.catalogs.startedAt) > voterLostAfter
	}
	return n.pauses.listened(age, now) > voterLostAfter
}

// isAlive reports whether a host was heard from within its alive window.
func (n *Node) isAlive(address string) bool { return n.isAliveAt(address, n.now()) }

func (n *Node) isAliveAt(address string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, age, ok := n.hostTable.Get(address, now)
	return ok && !n.isSilent(h, age, now)
}

// incarnationOf returns the incarnation of another host that was heard from last, 0 if none
// is known.
func (n *Node) incarnationOf(address string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, _, _ := n.hostTable.Get(address, n.now())
	return h.Incarnation
}

// Self returns this host as it describes itself to others.
func (n *Node) Self() discovery.Host {
	h := n.config.Self
	h.Leaving = n.leaving.Load()
	h.BusyPercent = int(n.busyPercent.Load())
	return h
}

// Holds reports whether this host holds a pool.
func (n *Node) Holds(pool string) bool {
	address, ok := n.holderOf(pool)
	return ok && address == n.config.Self.Address
}

// Leaving reports whether this host is stopping.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Hosts returns the other hosts heard from within the last 3 s (hostListWindow).
func (n *Node) Hosts() []discovery.Host { return n.hostsHeardWithin(hostListWindow) }

func (n *Node) hostsHeardWithin(window time.Duration) []discovery.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hostTable.Alive(window, n.now())
}

// Catalog returns the catalog that requests are served with, or NotReady while there
// is none.
func (n *Node) Catalog() (*catalog.Catalog, error) { return n.catalogs.current(n.now()) }

// PutCatalog proposes a document and returns the version that is replicated, which is
// at least as high as that of the document.
func (n *Node) PutCatalog(ctx context.Context, document []byte) (uint64, error) {
	return n.catalogs.put(ctx, document)
}

// ReadCatalog returns the newest document, confirmed by a quorum. The error is
// NoQuorum if too few hosts with a disk answered, and NotReady if no catalog was ever
// accepted.
func (n *Node) ReadCatalog(ctx context.Context) (catalog.Stored, error) { return n.catalogs.read(ctx) }

// Ready reports whether this host accepts new jobs and, if not, the reason.
func (n *Node) Ready() (bool, string) {
	if n.leaving.Load() {
		return false, "stopping"
	}
	if _, err := n.Catalog(); err != nil {
		return false, err.Error()
	}
	if len(n.domainLoads(n.config.Self.Domain)) == 0 {
		return false, "no host holds the targets of the domain"
	}
	return true, ""
}

// Leave announces that this host is stopping and hands each of its pools over to
// another host, of the same domain if there is one. A host with a disk then gives its vote
// to a standby if there is one.
func (n *Node) Leave(ctx context.Context) {
	n.leaving.Store(true)
	for _, p := range n.listPools() {
		p.handOver(ctx, "this host stops")
	}
	if n.config.DataFolder != nil && n.hasStandby() {
		voteCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		err := n.controller.Leave(voteCtx)
		n.log.Info("The request to give up this host's vote ended.", "error", err)
	}
}

// hasStandby reports whether there is another host, recently heard from and not
// leaving, with a disk that has no vote.
func (n *Node) hasStandby() bool {
	voters := n.controller.Status().Members
	return slices.ContainsFunc(n.Hosts(), func(h discovery.Host) bool {
		isVoter := slices.ContainsFunc(voters, func(m register.Member) bool { return m.Host == h.Address })
		return h.HasDisk && !h.Leaving && !isVoter
	})
}

// holderOf returns the address of the host that holds a pool. It reports false if no
// holder is known or the last known one is not alive.
func (n *Node) holderOf(pool string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isHeldHere(pool) {
		return n.config.Self.Address, true
	}
	remote, ok := n.claims[pool]
	if !ok {
		return "", false
	}
	return remote.claim.Holder, n.holderAlive(remote, n.now())
}

// holderAlive reports whether a claim is by another host that is alive. The caller
// holds the lock.
func (n *Node) holderAlive(c remoteClaim, now time.Time) bool {
	h, age, known := n.hostTable.Get(c.claim.Holder, now)
	return c.claim.Holder != n.config.Self.Address && known && !n.isSilent(h, age, now)
}

// poolLoad returns the load that a pool's holder reported last. It reports false for a
// pool without a holder that is alive. The caller holds the lock.
func (n *Node) poolLoad(pool string, now time.Time) (shards.Load, bool) {
	if p, ok := n.pools[pool]; ok && p.heldHere.Load() {
		c := p.publishedClaim.Load()
		return shards.Load{Pool: pool, FreeTasks: int(c.GetFreeSlots()), QueuedTasks: int(c.GetQueued()), HeldHere: true, TakesParts: true}, c != nil
	}
	c, ok := n.claims[pool]
	if !ok || !n.holderAlive(c, now) {
		return shards.Load{}, false
	}
	h, age, _ := n.hostTable.Get(c.claim.Holder, now)
	return shards.Load{
		Pool: pool, FreeTasks: c.freeTasks, QueuedTasks: c.queuedTasks, Silent: age > n.aliveWindow(h)/silentWindowDivisor,
		Age: now.Sub(c.reportedAt), TakesParts: n.partsAccepted[c.claim.Holder],
	}, true
}

// domainLoads returns the loads of a domain's pools that have a holder, in the order
// of the shards.
func (n *Node) domainLoads(domain string) []shards.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var out []shards.Load
	for shard := range max(1, n.shardCounts[domain]) {
		if l, ok := n.poolLoad(shards.Pool{Domain: domain, Shard: shard}.String(), now); ok {
			out = append(out, l)
		}
	}
	return out
}

// loadsOfOtherDomains returns the loads of the pools of other domains that have a holder
// and are not evacuated, ordered by name.
func (n *Node) loadsOfOtherDomains() []shards.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var out []shards.Load
	for _, name := range slices.Sorted(maps.Keys(n.claims)) {
		id, err := shards.ParsePool(name)
		if err != nil || id.Domain == n.config.Self.Domain || n.isEvacuated(id.Domain) {
			continue
		}
		if l, ok := n.poolLoad(name, now); ok {
			out = append(out, l)
		}
	}
	return out
}

// freeCapacityExcept returns how many tasks each pool other than the given one could
// start at once. It leaves out the pools of evacuated domains.
func (n *Node) freeCapacityExcept(except shards.Pool) []scheduler.PoolCapacity {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	names := map[string]bool{}
	for name := range n.pools {
		names[name] = true
	}
	for name := range n.claims {
		names[name] = true
	}
	var out []scheduler.PoolCapacity
	for name := range names {
		id, err := shards.ParsePool(name)
		if l, ok := n.poolLoad(name, now); ok && l.FreeTasks > 0 && !l.Silent && id != except && !n.isEvacuated(id.Domain) {
			out = append(out, scheduler.PoolCapacity{Pool: name, FreeTasks: l.FreeTasks, SameDomain: err == nil && id.Domain == except.Domain})
		}
	}
	return out
}
