package slots

import (
	"math/rand/v2"
	"time"
)

// Target is a target as a policy sees it.
type Target struct {
	Name  string
	Slots int // number of tasks that the target runs at once
}

// Grant is a number of slots of one target.
type Grant struct {
	Target string
	Slots  int
}

// Message is what the policy of one host sends to that of another. One Message carries
// everything that a peer is to be told at one time.
type Message struct {
	RequestedSlots int     // slots that the sender requests now; 0 requests none
	LentSlots      []Grant // slots that pass from the sender to the receiver
	IsReply        bool    // answers a message with RequestedSlots
	QueuedTasks    int     // tasks of the sender that wait for a slot
	BusySlots      int     // slots that the sender's tasks use
	UsableSlots    int     // slots that the sender holds and can use
	IsFullReport   bool    // HeldSlots is present
	HeldSlots      []Grant // all slots that the sender holds, by target
}

// OutgoingMessage is a Message and its receiver.
type OutgoingMessage struct {
	To      string
	Message Message
}

// Policy shares the slots of a domain's targets with the other entry hosts.
type Policy interface {
	// SetTargets replaces the list of live targets.
	SetTargets(now time.Time, targets []Target)
	// SetPeers replaces the list of the domain's other entry hosts.
	SetPeers(now time.Time, peers []string)
	// Acquire reserves a slot for one task on a target that usable accepts; a nil
	// usable accepts every target. It returns false if the task has to wait.
	Acquire(now time.Time, rng *rand.Rand, usable func(target string) bool) (target string, ok bool)
	// Release returns the slot of a task that has ended.
	Release(target string)
	// ReleaseRefused returns the slot of a start that the target refused because its
	// slots were full.
	ReleaseRefused(now time.Time, target string)
	// DueMessages returns the messages to send now, given the number of waiting tasks.
	DueMessages(now time.Time, queued int) []OutgoingMessage
	// Report returns the periodic message to a peer, given the number of waiting tasks.
	Report(now time.Time, to string, queued int) Message
	// Capacity returns the number of slots available to this host: those that it
	// holds and those that are idle at its peers.
	Capacity(now time.Time) int
	// Receive processes a message from a peer.
	Receive(now time.Time, from string, m Message)
}
