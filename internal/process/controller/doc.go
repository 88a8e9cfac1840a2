// Package controller runs the replicated register that holds the control
// state: on a host with a disk as a voter, on every host as a proposer and a
// holder of the newest chosen value.
//
// One goroutine owns the state. It takes messages of peers, operations of
// callers and its timers, syncs the state to the disk before it answers, and
// hands messages to one sending goroutine for each peer. All rings are
// bounded: a full one refuses operations with Overloaded and drops messages
// to peers, which the register's algorithm allows for.
//
// A host with a fresh disk becomes a voter by itself: all disks that are fresh
// found the register together, a disk that replaces a lost one learns a chosen
// value and then has itself named as a voter.
package controller
