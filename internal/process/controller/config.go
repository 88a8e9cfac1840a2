package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	"wasabifield.example/wasabifield/internal/version/store"
)

const (
	// MaxContentBytes bounds the register's content, bytes. An entry must fit in
	// one message of the default size.
	MaxContentBytes = 3 << 20

	stateName     = "register"              // file in the data folder
	eventRing     = 256                     // messages that wait for the owner
	operationRing = 64                      // operations that wait for the one in progress
	peerRing      = 32                      // messages that wait for one peer
	firstReads    = 100 * time.Millisecond  // between reads until one was confirmed; some round trips
	emptyReads    = 2 * time.Second         // the same on a host that holds no value: each voter answers with the whole one, while one peer suffices to fetch it
	fetchTimeout  = 1500 * time.Millisecond // to fetch a value from a peer; the largest takes 1 s on the slowest link that is known
	foundAfter    = 8                       // surveys without all hosts before the register is founded
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

	// InitialVoters are the hosts whose empty disks together found the register;
	// nil means all hosts with a disk in Peers, and this one.
	InitialVoters []string
	// Bootstrapped says that the register was founded before: an empty disk then
	// joins the others and never founds.
	Bootstrapped bool
	// VoterCount is the number of disks that vote; others stand by as spares. 0
	// means that all vote. An odd number tolerates as many losses as the even
	// one above it, with fewer answers to wait for.
	VoterCount int
	// Lost reports whether a host has been silent for long. A voter on such a
	// host makes room for a spare. Nil means that none is taken for lost.
	Lost func(host string) bool

	// PushOrder returns the failure domains in the order in which a chosen value
	// is pushed to them; domains that it leaves out come last. It may be nil.
	PushOrder func(content []byte) []string
}

// Peer is another entry host.
type Peer struct {
	Host    string
	Domain  string
	HasDisk bool
	Conn    grpc.ClientConnInterface
}

// Timing holds the controller's times.
type Timing struct {
	AttemptTimeout  time.Duration // for an attempt and for each call to a peer
	ReadTimeout     time.Duration // until a read gives up on a quorum
	ConfirmInterval time.Duration // mean time between reads that confirm the local copy
}

// DefaultTiming returns the times for hosts some milliseconds apart. A value
// whose push was lost is in force within two confirming reads.
func DefaultTiming() Timing {
	return Timing{AttemptTimeout: time.Second, ReadTimeout: 2 * time.Second, ConfirmInterval: 3 * time.Second}
}
