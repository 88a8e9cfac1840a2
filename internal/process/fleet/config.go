package fleet

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/version/catalog"
	"wasabifield.example/wasabifield/internal/version/store"
)

// Timings between hosts. A round trip takes a few milliseconds at most, so they
// bound detection, not delivery.
const (
	helloEntryInterval      = 250 * time.Millisecond // between greetings to another entry host
	helloFarInterval        = 2 * time.Second        // between holders of pools of different domains, where there are many hosts
	helloIdleInterval       = time.Second            // between greetings to an entry host that holds no pool, where there are many
	smallSystemHosts        = 20                     // up to so many other hosts all entry hosts greet each other often
	helloDiskInterval       = time.Second            // between greetings to or among hosts with a disk
	helloDiskLargeInterval  = 2 * time.Second        // the same of an entry host where there are many; below lostAfter
	farIdleFactor           = 4                      // a host of another domain that holds no pool is greeted so much less often than one of the own
	helloFirstInterval      = 100 * time.Millisecond // between greetings to a host that was never heard
	helloTimeout            = 400 * time.Millisecond // of one greeting; two lost ones replace the connection
	aliveTimeout            = 900 * time.Millisecond // three greetings; below the 1 s of a lease
	idleAliveIntervals      = 4                      // pauses after which a host that greets seldom no longer counts as alive
	voterLostAfter          = 3 * time.Second        // a voter silent for so long gives its vote to a spare
	leaveTimeout            = time.Second            // for a stopping host to give up its vote
	catalogConfirmInterval  = time.Second            // mean time between reads that confirm the catalog
	claimListenTime         = 300 * time.Millisecond // a host listens for a holder, a little longer than a greeting's pause, before it claims a pool
	claimAloneDelay         = 2 * time.Second        // a host that hears no other claims after this
	unconfirmedCatalogDelay = 3 * time.Second        // an unconfirmed catalog is served with after this
	fencedClaimDelay        = 5 * time.Second        // a host that was fenced and hears nobody claims nothing for so long
	tokenRaiseWindow        = 3 * time.Second        // after its start a host takes a higher token for one of its own of before
	returnHomeDelay         = time.Second            // an entry host is heard for so long before its domain's pool returns to it
	handoverTimeout         = 500 * time.Millisecond // for another host to take a pool over
	tickInterval            = 20 * time.Millisecond  // of the scheduler
	orphanCheckInterval     = 200 * time.Millisecond // between looks for domains without entry hosts
	idleTickInterval        = 100 * time.Millisecond // of a pool that another host holds
	eventRing               = 1024                   // events that wait for the pool's owner
	linkKeepalive           = 10 * time.Second       // a link without a message is probed after this; greetings replace broken ones sooner
	hostListWindow          = 3 * time.Second        // a host that was heard within this is told to targets and counted as present
	redialMinDelay          = 50 * time.Millisecond  // between attempts to connect to another host, at first
	redialMaxDelay          = 150 * time.Millisecond // and at most: hosts that start together are not reachable at once
	dialTimeout             = 500 * time.Millisecond // to connect to another host
)

// Config configures a Node.
type Config struct {
	Self       discovery.Host
	Seeds      []string      // addresses of hosts to ask first
	DataFolder *store.Folder // the data folder; nil on a host without a disk
	Founders   []string      // hosts whose empty disks found the register
	Founded    bool          // the system was started before
	Voters     int           // disks that vote on the catalog; others are spares
	MaxLease   time.Duration // longest lease that a target grants
	Targets    TargetClient  // reaches targets; nil on a host that takes no jobs
	// Parse decodes and checks an operator's document.
	Parse   func(document []byte) (catalog.Catalog, error)
	Log     *slog.Logger
	Metrics *metrics.Metrics
}

// TargetRef says which incarnation of a target an order is for, and where.
type TargetRef struct {
	ID      string
	Address string
}

// StartRequest orders a target to start a run.
type StartRequest struct {
	Run          scheduler.Run
	Spec         string
	LeaseUntilMS int64 // milliseconds on the target's clock
	Token        uint64
}

// RenewRequest extends the lease of all runs on a target, acknowledges ends and
// asks for what runs.
type RenewRequest struct {
	Token        uint64
	AckCursor    uint64        // ends up to this one may be forgotten
	LeaseUntilMS int64         // milliseconds on the target's clock; 0 extends nothing
	MaxWait      time.Duration // the target may wait so long for an end
}

// RunningRun is a run that a target lists as running.
type RunningRun struct {
	Run         scheduler.Run
	PercentDone int // of its work that is done
}

// EndedRun is a run that a target lists as ended.
type EndedRun struct {
	Sequence uint64 // of the end, rising from 1
	Run      scheduler.Run
	End      scheduler.End
}

// TargetReport is a target's answer to a renewal.
type TargetReport struct {
	ClockMS     int64  // milliseconds on the target's clock
	Incarnation uint64 // Unix milliseconds of the target's start; 0 if it did not say
	Running     []RunningRun
	Ended       []EndedRun
}

// Errors of Orders. Any other error leaves open whether the order was carried
// out or will be.
var (
	ErrFenced      = errors.New("another holder orders the target")
	ErrWrongTarget = errors.New("another incarnation has the address")
	ErrUnhealthy   = errors.New("the target refuses orders")
)

// TargetClient reaches targets.
type TargetClient interface {
	// Start returns the result and the target's clock, 0 if unknown.
	Start(ctx context.Context, t TargetRef, o StartRequest) (scheduler.StartResult, int64)
	// Stop returns nil once the run is gone and can no longer start.
	Stop(ctx context.Context, t TargetRef, r scheduler.Run, token uint64) error
	Renew(ctx context.Context, t TargetRef, r RenewRequest) (TargetReport, error)
}
