// Package ticket issues and checks tickets. A ticket is the right to submit one job.
// Entry hosts issue tickets to callers and check the ticket of each submission. The
// package performs no I/O and does not store which tickets were used; package record
// does.
//
// A ticket names the entry host that issued it, that host's incarnation and a
// sequence number. Only this incarnation, or the host that its records were handed
// over to, may start the tasks of the job, so two hosts never both start them. A
// resubmission at another host is forwarded to the issuer, and a ticket whose issuer
// has restarted since is refused. This requires no agreement between hosts: a host
// that is cut off from the others continues to issue tickets and to run jobs.
package ticket
