// Package parts splits the targets of a failure domain into pools, each ordered
// by one entry host, and chooses the pool for a job.
//
// It answers the load of a large domain: an order costs its holder some
// hundredths of a percent of a core, and a small host that orders nearly ninety
// targets falls behind. Few targets stay in one pool, since jobs of several tasks
// find room sooner where one scheduler sees all of it.
//
// A part's number comes from a hash of the target's id, so hosts need not agree
// on a list. The number of parts only grows, and only doubles: a target then
// stays where it is or goes to one new part, and hosts that hear of the larger
// number later hold a part that contains the smaller ones.
//
// The package is pure: what is known and randomness are arguments.
package parts
