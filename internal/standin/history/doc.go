// Package history records what the stand-ins did, one JSON document a line,
// and checks the invariants of the dispatcher on the records.
package history
