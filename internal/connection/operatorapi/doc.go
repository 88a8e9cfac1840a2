// Package operatorapi serves operators over HTTP at an entry host: the commands
// that change the control state, the documents that show it, the audit trail
// and the account of a period.
package operatorapi
