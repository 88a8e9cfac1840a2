// Package bootclock reads a monotonic clock that also counts the time in which the machine was
// suspended. Go's monotonic clock stands still meanwhile, so that a lease, a claim or a request
// seems younger than it is. The boot clock costs a system call, so it is read only when the time
// of day has moved against the monotonic clock.
package bootclock
