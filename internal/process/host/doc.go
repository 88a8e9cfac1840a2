// Package host assembles one entry host from its parts and runs it: the
// dispatch loop, the HTTP server for callers and targets, the gRPC server for
// other entry hosts, and one exchange with each of them.
package host
