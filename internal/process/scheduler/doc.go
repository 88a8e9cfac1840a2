// Package scheduler decides which tasks of which jobs run where in a pool of
// targets, which jobs wait, and which are refused.
//
// A job is answered as a whole: its worth to the caller falls once its due time
// has passed. Waiting jobs start by priority and latest start time, and a job that
// cannot be done by its due time is refused before anything of it runs, as it would
// only make others late too.
//
// The core is pure: the time and what targets answer are arguments, and what is
// to be sent comes back as effects.
package scheduler
