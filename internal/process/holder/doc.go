// Package holder decides which entry host holds a pool of targets, that is, sends
// requests to them. Package fleet keeps one View for each pool, records in it what
// other hosts and targets report, and asks it when to claim the pool.
//
// A holder acts under a fencing token that grows with each change of holder, so the
// targets refuse a former holder that was frozen or cut off.
//
// A claim needs no agreement with other hosts, so a failure domain that is cut off
// continues to work. Two hosts may therefore claim the same pool at once: the claim
// with the higher token wins, and the other host yields as soon as it learns of that
// claim from the host or from a target.
//
// The package does no I/O and reads no clock: the time and the reports of others are
// arguments. A View is not safe for concurrent use.
package holder
