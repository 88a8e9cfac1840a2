// Package scheduler places the tasks of jobs on the targets of one pool and
// decides which jobs wait, spill to another pool or are refused. Package fleet
// calls it for each pool that this host holds.
//
// A caller gets one answer for a whole job, and its value to the caller falls once
// the job's due time has passed. Waiting jobs start by priority, then by latest
// start time. A job that is not expected to end by its due time is refused before
// any of its tasks starts, because running it would only delay other jobs too.
//
// The scheduler does no I/O and reads no clock: the current time and the targets'
// answers are arguments, and requests and replies to send are returned as effects.
package scheduler
