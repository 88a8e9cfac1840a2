// Package trail keeps the audit trail on a host with a disk: every entry, in
// the order of its index, synced before it counts.
//
// The control state carries the last entries, so a host that skipped changes
// appends what it lacks from there. Older ones it asks other disk hosts for.
// Entries are chained by hash, so what another host says is checked against
// the entry before and the one after.
package trail
