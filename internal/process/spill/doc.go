// Package spill chooses a host of another failure domain for a job that the
// own domain cannot run. It is pure: time and randomness are arguments.
//
// A spilled job is passed on once and never sent again, so it starts at most
// once; a lost reply leaves its outcome unknown. A host takes no spilled job
// that it would have to pass on.
package spill
