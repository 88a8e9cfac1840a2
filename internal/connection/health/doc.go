// Package health tells a target that fails what it starts from a task that
// fails wherever it runs, takes the first out of use and returns it through a
// few trial tasks.
//
// The evidence against a target is a cumulative sum of log-likelihood ratios
// (Page, 1954; Wald, 1945): how much better its outcomes fit a target that
// fails half of its tasks than the rate at which the same groups of tasks fail
// at the other targets. A group that fails everywhere is no evidence, and
// evidence that a group gave earlier is taken back when it turns out to fail
// elsewhere too.
//
// The package does no I/O and reads no clock. A Tracker is not safe for
// concurrent use.
package health
