// Package slots decides which target runs the next task when several entry hosts share
// the slots of a failure domain's targets. Package dispatch calls it for each
// assignment and ended task and sends its messages.
//
// All policies implement the interface Policy: LocalPolicy considers only this host's
// own tasks, EqualPolicy holds a fixed share of each target's slots, and DemandPolicy
// moves the shares to where tasks wait. A slot share permits a host to try a start but
// proves nothing: a target refuses a start when its slots are full, so a wrong share
// costs one message and never starts a task twice.
//
// The package does no I/O and reads no clock; the time and the source of randomness are
// arguments. A Policy is not safe for concurrent use.
package slots
