// Package operatorapi serves operators over HTTP at an entry host: the commands that
// change the control state, the documents that show it, the audit trail, the jobs in
// progress and the report of a period. It parses requests and writes answers; the
// control plane decides whether a command is carried out.
package operatorapi
