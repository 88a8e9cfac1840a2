// Package register is a replicated register that is changed by
// compare-and-set under ballots. It has no leader and no log.
//
// The algorithm is single-decree Paxos (Lamport, "Paxos Made Simple", 2001)
// run once for each change with a function of the value in place of a value,
// as in CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without
// logs", 2018). A proposer prepares a ballot at a quorum of voters, takes the
// value accepted under the highest ballot, applies the change to it and asks
// the voters to accept the result.
//
// Two rules go beyond CASPaxos. A proposer derives a new value only from one
// that it knows to be chosen; another value it first completes unchanged under
// its own ballot. And each value names its voters, by host and by the identity
// of the host's disk. A value that changes the voters names the former ones
// too and is chosen by a quorum of both, so any accepted value proves that its
// former voters (or its voters, if it changes none) were chosen, and a
// proposer with outdated voters is led to the current ones.
//
// A host whose disk is lost draws a new identity. It votes only once it holds
// a chosen value, and counts only once a change of the voters has named it.
//
// The package is pure: storage, network, time and randomness are arguments or
// effects. The caller persists the state in an Effect before it sends the
// Effect's reply.
package register
