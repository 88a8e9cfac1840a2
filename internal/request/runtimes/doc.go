// Package runtimes learns how long tasks run, by team and kind, from the tasks
// that ran. Declared times are a first guess only.
//
// Each key has a histogram with buckets that grow by a constant factor and
// counts that decay exponentially with time, so an estimate follows a change
// within a few half-lives and a kind that is no longer seen is forgotten. The
// number of keys is bounded; the key that was used longest ago makes room.
package runtimes
