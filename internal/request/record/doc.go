// Package record stores, for each ticket of one incarnation of an entry host,
// whether the ticket was used and how its job was answered. A resubmission
// therefore waits for the running job or gets the stored answer, and never
// starts a task again. Package dispatch is its caller. The package performs no
// I/O and reads no clock.
//
// The stored answers are bounded in count and bytes; the oldest are dropped
// first. One bit per ticket marks it as used and is kept until the ticket
// expires.
package record
