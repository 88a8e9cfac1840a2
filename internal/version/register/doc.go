// Package register implements a replicated register that is changed by
// compare-and-set under ballots. It has no leader and no log.
//
// The algorithm is single-decree Paxos (Lamport, "Paxos Made Simple", 2001)
// run once for each change, with a function of the value in place of a value,
// as in CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without
// logs", 2018). A proposer prepares a ballot at a quorum of voters, takes the
// value accepted under the highest ballot, applies the change to it and asks
// the voters to accept the result.
//
// Two rules go beyond CASPaxos. First, a proposer derives a new value only from
// a value that it knows to be chosen; any other value it first gets chosen
// unchanged under its own ballot. Second, each value names its voters, by host
// and by the identity of the host's disk. A value that changes the voters also
// names the former ones and is chosen by a quorum of both. Any accepted value
// therefore proves that its former voters (or its voters, if it doesn't change
// them) were chosen, and a proposer with outdated voters is led to the current
// ones.
//
// A host that lost its disk draws a new identity. Its new disk votes only once it
// holds a chosen value, and its vote counts only once a change of the voters has
// named it.
//
// The package is pure: storage, network, time and randomness are arguments or
// effects. The caller must persist the state in an Effect before it sends the
// Effect's reply.
package register
