// Package operatorclient speaks to the entry hosts on behalf of an operator.
//
// Of several hosts the next one is tried with a command only if the one before
// refused the connection or said truthfully that nothing was done. After any
// other failure the outcome of the command is unknown; sending it again under
// the same request id is safe and gets the first answer. A reading changes
// nothing, so every host is tried until one answers.
package operatorclient
