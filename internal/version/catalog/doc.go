// Package catalog holds the model of what callers may submit: queues, the
// services that run their tasks, and limits on requests. A catalog has one
// version; the highest one that was accepted is in force everywhere.
//
// The package is pure. The operator's document is kept byte for byte beside its
// version, so that a read returns what was accepted.
package catalog
