// Package record keeps what became of each ticket of one incarnation of an
// entry host, so that a resubmission joins the running job or gets the stored
// answer and never starts a task again.
//
// Answers are bounded in count and bytes: the oldest are dropped first. That a
// ticket was used is kept until the ticket expires, in one bit.
package record
