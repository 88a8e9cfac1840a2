// Package slots decides which target runs the next task when several entry
// hosts share the slots of a failure domain's targets.
//
// Every policy answers the same question behind the Policy interface: Local
// looks at this host's own tasks only, Equal holds a fixed part of each
// target's slots, Demand moves the parts to where tasks wait. A part that is
// held is a right to try, never a proof: the target refuses a start when its
// slots are full, so a wrong part costs one message and never a second start.
//
// The package does no I/O and reads no clock; time and randomness are
// arguments. A Policy is not safe for concurrent use.
package slots
