// Package wire holds the HTTP paths, headers and documents exchanged with
// callers and targets.
//
// A target announces itself with POST /v1/targets at any entry host of its
// failure domain, renews before the lease ends, and announces Leaving when it
// wants no new work. An entry host starts a task with POST /v1/tasks at the
// target's address. The target answers 200 with the output, or an error
// status with the RanHeader that says whether the task was started.
package wire
