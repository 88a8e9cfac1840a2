// Package membership keeps what an entry host knows of the targets of its
// failure domain (Targets) and of the other entry hosts (Hosts).
//
// Both tables gossip ages instead of verdicts, as in van Renesse, Minsky and
// Hayden, "A Gossip-Style Failure Detection Service" (1998): a record states
// how long ago somebody heard from its subject, the smallest age wins, and
// each host draws its own conclusion. There is no verdict to refute, so the two
// sides of a cut need not agree on anything.
//
// A host learns by asking. The ages in an answer are counted from the instant
// at which the question was sent, which is never later than the instant at
// which the answer was made. Hence a delay on the way, or a freeze of either
// host, can only make a record look older than it is.
//
// The package is pure: time and randomness are arguments, and nothing here
// sends or receives. Its types are not safe for concurrent use.
package membership
