// Package trail stores the complete audit trail on a host with a disk: every entry
// in the order of the indexes, each synced before Append returns.
//
// Package controlplane appends the entries. The control state holds the last
// control.MaxAuditEntries of them, so a host that missed some changes takes the
// entries that it lacks from the state. Older entries are fetched from other disk
// hosts. The entries are a hash chain, so an entry from another host is checked
// against its predecessor and its successor. This package never fetches or changes
// an entry.
package trail
