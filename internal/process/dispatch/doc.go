// Package dispatch assigns the tasks of submitted jobs to slots of targets and
// decides when and how each job is answered. Package host submits jobs and
// targets to it and sends its messages.
//
// Core is a pure state machine. Time, random numbers and the results of attempts
// are arguments; the attempts to make, the answers to give, the messages to send
// and the tasks to stop are returned as Effects. Core performs no I/O and reads no
// clock. Loop runs a Core on one goroutine and carries out its effects.
//
// Invariants of Core:
//   - a task is started again only after a result that proves that the earlier
//     attempt did not start it, or if the job is idempotent and the policy allows
//     restarts;
//   - a job gets exactly one answer, with the outputs of all its tasks or of none;
//   - an answer with the outcome "not run" is given only if no attempt of the job
//     is in progress and every ended attempt is proven not to have started its
//     task;
//   - a target whose lease has expired, or that is leaving, gets no start.
package dispatch
