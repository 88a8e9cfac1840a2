// Package shards splits the targets of a failure domain into shards and chooses the
// pool for a job, or the pools for its parts. Each shard has a pool of its own, and each pool is held by one entry
// host. Package fleet applies the decisions; this package neither knows which host
// holds a pool nor sends anything.
//
// A large domain is split because of the load on its holder: a request to a target
// costs the holder some hundredths of a percent of a core, and a small host that sends
// requests to nearly ninety targets falls behind. A domain with few targets has one
// pool, since jobs of several tasks find free capacity sooner where one scheduler sees
// all targets.
//
// The shard of a target is computed from a hash of the target's id, so hosts need not
// agree on a list. The number of shards only grows, and only by doubling: a target then
// stays in its shard or moves to one new shard, and a host that learns the larger number
// later holds a shard that contains the smaller ones split from it.
//
// The package does no I/O and reads no clock: what is known, the time and the source of
// randomness are arguments. Where a decision needs time to be sure, the caller keeps the
// timer (SplitTimer).
package shards
