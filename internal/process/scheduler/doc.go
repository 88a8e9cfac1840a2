// Package scheduler decides which tasks of which jobs run where in a pool of
// targets, which jobs wait, and which are refused.
//
// A job is answered as a whole: its worth to the caller falls once its due time
// has passed. Jobs are therefore started in the order of their latest start
// times, and a job that cannot be done by its due time while others wait for the
// same room is refused before anything of it runs.
//
// The core is pure: the time and what targets answer are arguments, and what is
// to be sent comes back as effects.
package scheduler
