// Package workers records what is known of the workers that targets run on: the
// worker and rack of each target, which workers and racks count as lost, the load of
// the workers, and the tasks to be stopped. Package dispatch calls it for each
// assignment and sends the stop requests.
//
// The platform owns the workers. It runs tasks under leases, reports usage with a
// delay, and can checkpoint, throttle or stop a task. Unless its end or a stop is
// confirmed, only the end of a task's lease proves that the task no longer runs: until
// then its slot counts as used.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent
// use.
package workers
