// Package operatorclient sends the requests of an operator's tool to the entry hosts.
//
// A command is sent to the next host only if the one before could not be connected to,
// or refused the command with the statement that nothing was done and that a retry may
// succeed. After any other failure the outcome of the command is unknown; sending it
// again under the same request id is safe and returns the first answer. A read changes
// nothing, so hosts are tried until one answers.
package operatorclient
