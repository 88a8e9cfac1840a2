package fleet

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/process/bootclock"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/version/catalog"
	"wasabifield.example/wasabifield/internal/version/store"
)

// Timings between hosts. A round trip takes a few milliseconds at most, so these values
// bound how fast a failure is detected, not how fast a message arrives.
const (
	helloEntryInterval      = 250 * time.Millisecond // between hello messages to another entry host
	helloFarInterval        = 2 * time.Second        // between holders of pools of different domains, in a large system
	helloIdleInterval       = time.Second            // between hello messages to an entry host that holds no pool, in a large system
	smallSystemHosts        = 20                     // in a system of up to this many other hosts, all entry hosts exchange hello messages often
	helloDiskInterval       = time.Second            // between hello messages to or among hosts with a disk
	helloDiskLargeInterval  = 2 * time.Second        // the same from an entry host in a large system; below voterLostAfter
	startPhase              = 3 * time.Second        // a host counts as just started for this long: as an entry host it exchanges hello messages with hosts with a disk often, and its new pools have no former pool
	farIdleFactor           = 4                      // an idle entry host of another domain gets a hello message this many times less often than one of the own domain
	helloFirstInterval      = 100 * time.Millisecond // between hello messages to a host that was never heard from
	helloTimeout            = 400 * time.Millisecond // of one exchange of hello messages; after two consecutive timeouts the connection is replaced
	aliveTimeout            = 900 * time.Millisecond // a host not heard from for longer is not alive; time for three hello messages, and less than the 1 s of a lease
	silentWindowDivisor     = 2                      // a host not heard from for its alive window divided by this is silent: it gets no new jobs while others can take them
	idleAliveIntervals      = 4                      // hello intervals after which a host that sends hello messages rarely no longer counts as alive
	voterLostAfter          = 3 * time.Second        // a voter silent for this long loses its vote to a standby
	leaveTimeout            = time.Second            // for a stopping host to give up its vote
	catalogConfirmInterval  = time.Second            // mean time between reads that confirm the catalog
	claimListenTime         = 300 * time.Millisecond // how long a host listens for a holder, a little longer than the hello interval, before it claims a pool
	claimAloneDelay         = 2 * time.Second        // a host that receives messages from no other host claims a pool after this
	maxHelloWait            = 2 * claimAloneDelay    // how long after its start a host waits to hear from the hosts of its domain that others list: a list and the hello that follows may each be late on a busy machine
	startedTogether         = time.Second            // hosts whose starts are less apart than this start together; a host may hold pools claimListenTime after its start
	unconfirmedCatalogDelay = 3 * time.Second        // an unconfirmed catalog is used after this
	fencedClaimDelay        = 5 * time.Second        // how long a host that was fenced and receives messages from no other host claims nothing
	tokenRaiseWindow        = 3 * time.Second        // for this long after its start, a host assumes that a higher token is its own from before the restart
	returnHomeDelay         = time.Second            // an entry host is heard from for this long before its domain's pool returns to it
	handoverTimeout         = 500 * time.Millisecond // for another host to answer the state of a pool
	maxHandoverTries        = 4                      // how often the state is sent to a host that is alive but does not answer
	tickInterval            = 20 * time.Millisecond  // between scheduler ticks of a pool that this host holds
	orphanCheckInterval     = 200 * time.Millisecond // between checks for domains without entry hosts
	idleTickInterval        = 100 * time.Millisecond // between ticks of a pool that another host holds
	eventRing               = 1024                   // events that wait for the pool's goroutine
	linkKeepalive           = 10 * time.Second       // a link without a message is probed after this; failed hello messages have a broken link replaced sooner
	hostListWindow          = 3 * time.Second        // a host heard from within this may be named to targets and counts as present
	redialMinDelay          = 50 * time.Millisecond  // first delay between attempts to connect to another host
	redialMaxDelay          = 150 * time.Millisecond // longest such delay; short, because hosts that start together are not reachable at once
	connectTimeout          = 150 * time.Millisecond // of the TCP connection itself, which takes one round trip; the opening packet to a host without power is lost, and the kernel repeats it only after a second
	dialTimeout             = 500 * time.Millisecond // to connect to another host
)

// Config configures a Node.
type Config struct {
	Self          discovery.Host
	Seeds         []string      // addresses of the hosts to contact first
	DataFolder    *store.Folder // nil on a host without a disk
	InitialVoters []string      // hosts whose empty disks together bootstrap the register
	Bootstrapped  bool          // the register was bootstrapped before
	VoterCount    int           // number of disks that vote on the catalog; the others are standbys
	MaxLease      time.Duration // longest lease that a target grants
	ResubmitDelay time.Duration // after which a caller whose attempt has ended sends its job again; 0 for the scheduler's default
	RunStopTime   time.Duration // longest time that a target takes to end a run whose stop it has confirmed; 0 for defaultRunStopTime
	// EvacuateWithin is the time from the acknowledgement of an evacuation until no task
	// of the domain may be started any more; 0 where operators request no evacuations.
	EvacuateWithin time.Duration
	// RemoteFactor is how many times as long a task takes outside its data rack; up to 1 if
	// the settings name none.
	RemoteFactor float64
	JobParts     bool          // jobs may run in parts over several pools of their domain
	MaxLocalWait time.Duration // longest wait of a task for a target in its data rack; 0 for none
	Domains      []string      // failure domains that the settings name
	Targets      TargetClient  // nil on a host that accepts no jobs
	// Parse decodes and checks a catalog document of an operator.
	Parse func(document []byte) (catalog.Catalog, error)
	// Clock returns the time, with a monotonic reading that counts suspensions of the machine;
	// nil for bootclock.Now. Its time of day may be ahead by Suspended.
	Clock func() time.Time
	// Suspended returns how long the machine was suspended since the start; nil for
	// bootclock.Suspended.
	Suspended func() time.Duration
	Log       *slog.Logger
	Metrics   *metrics.Metrics
}

func (c Config) now() time.Time {
	if c.Clock == nil {
		return bootclock.Now()
	}
	return c.Clock()
}

func (c Config) suspended() time.Duration {
	if c.Suspended == nil {
		return bootclock.Suspended()
	}
	return c.Suspended()
}

// TargetRef identifies the target that a request is for and holds its address.
type TargetRef struct {
	ID      string
	Address string
}

// StartRequest asks a target to start a run.
type StartRequest struct {
	Run          scheduler.Run
	Spec         string
	LeaseUntilMS int64 // on the target's clock
	Token        uint64
}

// RenewRequest extends the lease of all runs on a target, acknowledges ended runs and
// asks which runs are running and which have ended.
type RenewRequest struct {
	Token        uint64
	AckCursor    uint64        // the target may forget ended runs up to this sequence number
	LeaseUntilMS int64         // on the target's clock; 0 extends nothing
	MaxWait      time.Duration // how long the target may delay its answer until a run ends
}

// RunningRun is a run that a target lists as running.
type RunningRun struct {
	Run         scheduler.Run
	PercentDone int // of the run's work
}

// EndedRun is a run that a target lists as ended.
type EndedRun struct {
	Sequence uint64 // of the ended run on its target, rising from 1
	Run      scheduler.Run
	End      scheduler.End
}

// TargetReport is a target's answer to a RenewRequest.
type TargetReport struct {
	ClockMS     int64  // the target's clock when it answered
	Incarnation uint64 // Unix milliseconds of the target's start; 0 if the target did not report it
	Running     []RunningRun
	Ended       []EndedRun
	Unreadable  int   // rows that name no run and were left out
	FirstError  error // of these rows
}

// AddUnreadable counts a row that names no run.
func (r *TargetReport) AddUnreadable(reason string) {
	if r.Unreadable == 0 {
		r.FirstError = errors.New(reason)
	}
	r.Unreadable++
}

// lists reports whether the target lists a run as running or ended.
func (r TargetReport) lists(run scheduler.Run) bool {
	return r.isRunning(run) ||
		slices.ContainsFunc(r.Ended, func(e EndedRun) bool { return e.Run == run })
}

// isRunning reports whether the target lists a run as running.
func (r TargetReport) isRunning(run scheduler.Run) bool {
	return slices.ContainsFunc(r.Running, func(l RunningRun) bool { return l.Run == run })
}

// Errors of a TargetClient. After any other error it is unknown whether the target
// carried out the request or still will.
var (
	ErrFenced      = errors.New("the target obeys another holder")
	ErrWrongTarget = errors.New("another incarnation has the address")
	ErrUnhealthy   = errors.New("the target refuses requests")
	ErrNotSent     = errors.New("the request was not sent") // no connection could be opened
)

// TargetClient sends requests to targets.
type TargetClient interface {
	// Start returns the result and the target's clock in milliseconds, 0 if it is
	// unknown.
	Start(ctx context.Context, t TargetRef, r StartRequest) (scheduler.StartResult, int64)
	// Stop returns nil once the run has ended and can no longer start.
	Stop(ctx context.Context, t TargetRef, r scheduler.Run, token uint64) error
	// Renew returns the runs that the target lists as running or ended.
	Renew(ctx context.Context, t TargetRef, r RenewRequest) (TargetReport, error)
}
