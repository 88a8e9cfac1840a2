// Package failure defines the closed list of error kinds and the table that gives the
// answer for each kind: the HTTP status, whether the job ran, and when the caller may
// retry. All packages that return errors to callers or operators use it. The package
// decides nothing about a particular request and writes no log.
//
// Every answer states two facts separately. AttemptRan states whether the submission
// being answered started a task. JobRan states whether any submission of the same job
// may have started a task. A host that cannot reach the holder of a job's record can
// state the first and not the second.
package failure
