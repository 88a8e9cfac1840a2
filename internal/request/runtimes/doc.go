// Package runtimes estimates the run times of tasks by team and kind from the tasks
// that ran. Package dispatch records and reads them. A declared run time is used only
// until enough tasks have run.
//
// Each key has a histogram with buckets that grow by a constant factor and counts
// that decay exponentially with time. An estimate thus follows a change within a few
// half-lives, and a kind that no longer occurs is forgotten. The number of keys is
// bounded; a new key replaces the least recently used one.
package runtimes
