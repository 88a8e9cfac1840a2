// Package history records the events of the stand-ins, one JSON document per line, and
// checks the recorded events against the invariants of the dispatcher. Packages caller
// and target write histories; the command check, the demo and the scenarios verify
// them. The package neither talks to a host nor repairs a history.
package history
