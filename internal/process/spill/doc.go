// Package spill chooses a host of another failure domain for a job that the
// host's own domain cannot run. It is called by package host, does no I/O and has
// no state: the time and the source of randomness are arguments.
//
// A spilled job is forwarded once and never resent, so it starts at most once; a
// lost reply leaves its outcome unknown. A host refuses a spilled job that it would
// have to forward again.
package spill
