// Package controller runs this host's part of the replicated register that
// holds the control state. A host with a disk is a voter or a standby; every
// host, with or without a disk, is a proposer and holds a copy of the newest
// chosen value that it knows.
//
// One goroutine, the run loop, owns the register state. It receives messages of
// peers, operations of callers and timer events, syncs the state to disk before
// it replies, and passes messages to one sending goroutine per peer. All rings
// are bounded: a full operation ring refuses operations with Overloaded, and a
// full peer ring drops messages, which the register's algorithm tolerates.
//
// A host with a fresh disk becomes a voter without an operator. If all disks
// are fresh, they bootstrap the register together. A disk that replaces a lost
// one first learns a chosen value and then has itself added to the voters.
//
// The package doesn't interpret the content of the register.
package controller
