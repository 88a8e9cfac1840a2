// Package health detects targets that fail the tasks they run. It ejects such a
// target, that is, takes it out of use, and returns it to use through a few trial
// tasks. It distinguishes a target that fails its tasks from a task that fails at
// every target. Package dispatch reports the outcome of each started task and asks
// which targets may get another one.
//
// The evidence against a target is a cumulative sum of log-likelihood ratios
// (Page, 1954; Wald, 1945): how much better its outcomes fit a target that fails
// half of its tasks than the rate at which the same groups of tasks fail at the
// other targets. A group of like tasks that fails everywhere is no evidence, and
// evidence from a group is withdrawn when the group turns out to fail elsewhere
// too.
//
// The package does no I/O and reads no clock. A Tracker is not safe for
// concurrent use.
package health
