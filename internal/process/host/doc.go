// Package host assembles one entry host and runs it: the dispatch loop, the
// HTTP server for callers, targets and operators, the gRPC server for other
// entry hosts, and the periodic exchange of messages with each of them.
//
// The daemon calls New and Run. The package connects the other packages and
// converts their types to and from the messages between hosts; it does not
// itself decide which target runs a task.
package host
