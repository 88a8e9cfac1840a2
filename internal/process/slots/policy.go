package slots

import (
	"math/rand/v2"
	"time"
)

// Target is what a policy needs to know of a target.
type Target struct {
	Name  string
	Slots int // tasks that the target runs at once
}

// Grant names slots of one target.
type Grant struct {
	Target string
	Slots  int
}

// Message is what one host's policy tells another's. All of one moment's news
// for a peer travels in one Message.
type Message struct {
	RequestedSlots int     // slots that the sender asks for now
	LentSlots      []Grant // slots that pass from the sender to the receiver
	IsReply        bool    // whether this answers a Want
	QueuedTasks    int     // the sender's tasks that wait for a slot
	BusySlots      int     // the sender's tasks that run
	UsableSlots    int     // the slots that the sender holds and can use
	IsFullReport   bool    // whether Held is present
	HeldSlots      []Grant // the sender's slots by target
}

// OutgoingMessage is a Message with its receiver.
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
	// Acquire reserves a slot for one task on a target that usable accepts
	// (nil accepts all). It returns false if the task has to wait.
	Acquire(now time.Time, rng *rand.Rand, usable func(target string) bool) (target string, ok bool)
	// Release returns the slot of a task that has ended.
	Release(target string)
	// Refused returns the slot of a start that the target refused as full.
	ReleaseRefused(now time.Time, target string)
	// Messages returns what is to be sent at once, given the tasks that wait.
	DueMessages(now time.Time, queued int) []OutgoingMessage
	// Report returns the periodic message to a peer.
	Report(now time.Time, to string, queued int) Message
	// Capacity returns the slots that this host can count on: those it holds
	// and those that idle at its peers.
	Capacity(now time.Time) int
	// Receive takes in a peer's message.
	Receive(now time.Time, from string, m Message)
}
