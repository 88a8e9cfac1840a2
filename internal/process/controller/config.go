package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	"wasabifield.example/wasabifield/internal/version/store"
)

const (
	// MaxContentBytes bounds the size of the register's content. An entry must
	// fit in one gRPC message of the default size.
	MaxContentBytes = 3 << 20

	stateFileName     = "register"              // file in the data folder
	eventRingSize     = 256                     // messages that wait for the run loop
	operationRingSize = 64                      // operations that wait for the one in progress
	peerRingSize      = 32                      // messages that wait for one peer
	firstReadInterval = 100 * time.Millisecond  // interval of reads until one is confirmed; covers a few round trips
	emptyReadInterval = 2 * time.Second         // the same on a host without a value: every voter replies to a read with the whole value, while fetching it needs only one peer
	settleInterval    = 60 * time.Millisecond   // mean interval of a read's inspections while a change is in progress; a change takes a few disk writes
	diskReadPatience  = 4                       // inspections after which a read of a host with a disk completes the change of another host
	fetchTimeout      = 1500 * time.Millisecond // for fetching a value from a peer; the largest value takes 1 s on the slowest known link
	bootstrapSurveys  = 8                       // consecutive empty surveys after which the register is bootstrapped although some host has not reported
)

// Config configures a Controller.
type Config struct {
	Host   string
	Folder *store.Folder // the data folder; nil on a host without a disk
	Peers  []Peer        // the other entry hosts
	Random *rand.Rand    // used by the controller alone
	Clock  func() time.Time
	Log    *slog.Logger
	Timing Timing

	// InitialVoters are the hosts whose empty disks together bootstrap the
	// register. Nil means this host, if it has a disk, and all hosts in Peers
	// with a disk.
	InitialVoters []string
	// Bootstrapped states that the register was bootstrapped before. An empty disk
	// then joins the existing voters and never bootstraps a register.
	Bootstrapped bool
	// VoterCount is the number of disks that vote; the others are standbys. 0
	// means that all disks vote. An odd number tolerates as many losses as the
	// even number above it and needs fewer replies for a quorum.
	VoterCount int
	// Lost reports whether a host has been silent for so long that a standby may
	// replace its voter. Nil means that no host is considered lost.
	Lost func(host string) bool

	// PushOrder returns the failure domains in the order in which a chosen value
	// is pushed to them. Domains that are not in the result come last. Nil means
	// no particular order.
	PushOrder func(content []byte) []string
}

// Peer describes another entry host and the connection to it.
type Peer struct {
	Host    string
	Domain  string
	HasDisk bool
	Conn    grpc.ClientConnInterface
}

// Timing holds the controller's timeouts and intervals.
type Timing struct {
	AttemptTimeout  time.Duration // for an attempt and for each call to a peer
	ReadTimeout     time.Duration // until a read stops waiting for a quorum
	ConfirmInterval time.Duration // mean time between reads that confirm the local copy
}

// DefaultTiming returns the timing for hosts whose round-trip times are some
// milliseconds. A value whose push was lost reaches a host within two
// confirming reads.
func DefaultTiming() Timing {
	return Timing{AttemptTimeout: time.Second, ReadTimeout: 2 * time.Second, ConfirmInterval: 3 * time.Second}
}
