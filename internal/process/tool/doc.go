// Package tool implements wasabifield, the operators' command line. It reads
// documents from entry hosts, signs commands with the operator's key, sends
// them, and prints the answers as tables or JSON. Whether a command is allowed
// is decided by the entry hosts; the package keeps no state besides the key
// files that keygen writes.
//
// Each command is in its own file; exit codes are in exit.go.
package tool
