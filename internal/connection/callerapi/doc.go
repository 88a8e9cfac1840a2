// Package callerapi serves callers, targets and the platform over HTTP at an entry
// host. It parses requests, passes them to the host through Backend, and writes the
// answers. It checks the form of requests but decides nothing about jobs or targets.
package callerapi
