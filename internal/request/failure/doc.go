// Package failure holds the closed list of error kinds and the one table that
// turns a kind into an answer: the HTTP status, whether the job ran, and when
// the caller may come back.
//
// Two facts are kept apart in every answer. AttemptRan says whether the
// submission being answered started a task. JobRan says whether any
// submission of the same job may have started a task. A host that cannot
// reach the holder of a job's record can answer the first and not the second.
package failure
