// Package dispatch decides which task starts where and when a job is answered.
//
// Core is a pure state machine: time, randomness and the results of starts
// come in as arguments, and the starts to make and the answers to give come
// out as values. Loop is the one goroutine that owns a Core.
//
// Invariants of Core:
//   - a task is started again only after a result that proves the earlier
//     start did not run, or where the job is idempotent and the policy allows it;
//   - a job gets exactly one answer, with all outputs or none;
//   - an answer that says "not run" is given only if no start of the job is in
//     progress or ended otherwise than not started;
//   - a target whose lease is over or that is leaving gets no start.
package dispatch
