// Package catalog defines which jobs callers may submit: the queues, the services that
// run their tasks, and the limits of requests. A catalog has a version; the highest
// accepted version is in force on all hosts. Package fleet replicates it, and package
// platform decodes the operator's document.
//
// The package performs no I/O. The operator's document is stored byte for byte with its
// version, so that a read returns exactly what was accepted.
package catalog
