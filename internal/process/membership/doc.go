// Package membership keeps what an entry host knows of the targets of its
// failure domain (Targets) and of the other entry hosts (Hosts). Package host
// calls it for each request and response between entry hosts.
//
// Both tables gossip ages instead of verdicts, as in van Renesse, Minsky and
// Hayden, "A Gossip-Style Failure Detection Service" (1998): a record states
// how long ago any host last heard from its subject, the smallest age wins, and
// each host decides for itself whether the subject is alive. There is no verdict
// to refute, so the two sides of a network partition need not agree.
//
// A host pulls information by sending requests. The ages in a response are
// counted back from the instant at which the request was sent, which is never
// later than the instant at which the response was created. Hence a network
// delay, or a freeze of either host, can only make a record look older than it
// is.
//
// The package does no I/O and reads no clock: time and randomness are
// arguments. Its types are not safe for concurrent use.
package membership
