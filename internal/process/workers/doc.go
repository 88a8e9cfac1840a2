// Package workers keeps what is known of the workers that targets run on: which
// worker and rack a target belongs to, whether they are lost, how loaded they
// are, and which tasks are to be stopped.
//
// The platform owns the workers. It runs tasks under leases, reports usage with
// a lag, and can checkpoint, throttle or stop a task. The end of a task's lease
// is the proof that the task no longer runs: until then its slot is taken.
//
// The package does no I/O and reads no clock. Its types are not safe for
// concurrent use.
package workers
