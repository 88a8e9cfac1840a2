// Package fleet runs one host of a system whose targets themselves check the capacity,
// lease and fencing token of every request. A Node discovers the other hosts, follows
// the replicated catalog and, on an entry host, accepts jobs and runs them on the
// targets of the pools that the host holds.
//
// The targets of a failure domain form one pool, or several if the domain is large
// (package shards). Each pool has one holder among the entry hosts (package holder).
// Only the holder sends requests to the pool's targets; other hosts submit their jobs
// to the holder. Package fleet decides neither who holds a pool nor where a task runs:
// the pure packages scheduler, holder, discovery and register do, and this package
// moves messages between them, the network and the disk.
package fleet
