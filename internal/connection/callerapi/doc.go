// Package callerapi serves callers, targets and the platform over HTTP at an
// entry host.
package callerapi
